"""Batch jobs: files, chunks, claims, results."""
