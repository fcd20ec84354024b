"""Batch jobs accepted while the key-value service is away, kept on data hosts' disks."""
