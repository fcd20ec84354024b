"""Randomized soak test: real gateway processes, stand-ins and injected external faults."""
