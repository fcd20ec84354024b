"""Other hosts of the fleet: who is live, what they have in flight, what they know."""
