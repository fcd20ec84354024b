"""Adapter to the users' platform: its store, names and formats, and no decisions."""
