"""Intents, plans and confirmations as a deterministic fold of the log."""
