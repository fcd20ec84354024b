"""Logs, metrics and the reconstruction of request timelines from logs."""
