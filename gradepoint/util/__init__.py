"""Small helpers without a domain of their own."""
