"""Adapter to the users' platform: its store, names and formats.

It converts between the platform's protocol and this project's types and makes no decisions. The
platform's own names occur only here.
"""
