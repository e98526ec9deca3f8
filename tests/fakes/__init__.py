"""Small stand-ins for external systems; each can also be run on its own."""
