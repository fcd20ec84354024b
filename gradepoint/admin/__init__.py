"""The administration API and its client."""
