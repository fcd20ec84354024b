"""Immutable bulk objects on the hosts that have a data folder."""
