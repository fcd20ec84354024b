"""Stand-ins for the platform's external systems: its metadata store and its targets."""
