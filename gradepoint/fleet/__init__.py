"""Hosts, membership, configuration distribution and orders to targets."""
