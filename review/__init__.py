"""Stand-ins of clients, runners and the platform for the scripts of the review."""
