"""Routing decisions without I/O: choice of target, limits, quotas, retries and batch windows."""
