"""Stand-ins for the platform's outside: its metadata store and its targets."""
