"""What a host knows of configuration and upstreams, and how it follows them."""
