"""Limits, fair queueing and the retry budget."""
