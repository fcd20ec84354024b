"""Console programs. Each module parses the arguments and calls the package that does the work."""
