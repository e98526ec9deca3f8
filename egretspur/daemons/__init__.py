"""Entry points of the long-running processes."""
