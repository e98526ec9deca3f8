"""Clients of external systems; only these modules know their wire formats."""
