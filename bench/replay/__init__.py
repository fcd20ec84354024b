"""Replays traces in virtual time, using gradepoint's own decision code."""
