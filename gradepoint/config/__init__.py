"""The configuration document: its types, checks, differences and schema."""
