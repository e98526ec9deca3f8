"""Runs calls to services; non-repeatable ones at most once."""
