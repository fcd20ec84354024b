"""Storage of immutable bulk objects on the hosts that have a data folder."""
