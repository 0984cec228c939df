"""Decisions about which versions runners load, and in which order."""
