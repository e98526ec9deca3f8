"""Choice of layer ranges per upstream; pure planning."""
