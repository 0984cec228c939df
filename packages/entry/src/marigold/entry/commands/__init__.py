"""Implementation of the subcommands."""
