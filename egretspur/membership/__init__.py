"""What entry hosts tell each other: liveness, marks, demand, offsets."""
