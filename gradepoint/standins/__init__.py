"""Small stand-ins for the outside systems, used by demo, tests and bench."""
