"""Audit of the order in which requests were admitted."""
