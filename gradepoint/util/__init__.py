"""General-purpose helpers."""
