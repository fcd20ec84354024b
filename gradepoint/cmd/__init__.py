"""Console programs; each module parses its arguments and calls in."""
