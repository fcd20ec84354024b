"""Randomized soak: real gateway processes, stand-ins, and faults from outside them."""
