"""Sends requests to upstreams and streams the answers to callers."""
