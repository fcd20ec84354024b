"""Batch jobs kept whole in the key-value service: accept, run, read, end."""
