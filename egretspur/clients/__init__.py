"""Clients of the outside systems; the only modules that know wire forms."""
