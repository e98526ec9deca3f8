"""Planning of layer ranges per upstream; pure."""
