"""Tests: a folder per slice, and stand-ins for external systems in `fakes`."""
