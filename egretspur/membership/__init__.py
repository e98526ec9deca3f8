"""State that entry hosts share: liveness, leaving marks, demand, offsets."""
