"""Choice of a chain of upstreams for each attempt."""
