"""At most one run of a call that must not be repeated."""
