"""Shares of organisations that compete for the same runners."""
