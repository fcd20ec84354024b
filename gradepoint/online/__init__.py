"""The life of one online call."""
