"""Clients of the platform: object API, host list, leases and weight store."""
