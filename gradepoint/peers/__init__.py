"""Communication between hosts: presence, heartbeats, load sums, and key-value updates."""
