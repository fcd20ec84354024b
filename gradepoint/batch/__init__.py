"""Batch jobs: uploaded files, chunks of items, claims of chunks, and results."""
