"""Ports to the platform: the key-value service and the host list."""
