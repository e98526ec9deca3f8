"""Tests: a folder for each slice, stand-ins of outside systems in `fakes`."""
