"""Attempts of a request and the relay of its events."""
