"""Replay of traces in virtual time, with the product's own decisions."""
