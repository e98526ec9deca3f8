"""Configuration and upstreams as one host knows them, and the feeds of both."""
