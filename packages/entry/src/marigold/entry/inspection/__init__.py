"""Checks of a configuration before operators put it into force."""
