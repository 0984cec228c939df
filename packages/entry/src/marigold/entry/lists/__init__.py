"""Validation, acceptance and replication of the two lists."""
