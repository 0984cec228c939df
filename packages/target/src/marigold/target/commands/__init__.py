"""Implementations of the subcommands."""
