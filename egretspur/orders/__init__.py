"""Leases and orders to engines, from one holder per data centre."""
