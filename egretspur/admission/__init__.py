"""Rate limits, fair queueing, quarantine and the retry budget."""
