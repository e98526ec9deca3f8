"""Connections to upstreams, also through another host if links fail."""
