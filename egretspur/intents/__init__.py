"""Intents, plans and confirmations, folded from the log."""
