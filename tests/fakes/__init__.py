"""Small stand-ins of the outside systems; each can be started by hand."""
