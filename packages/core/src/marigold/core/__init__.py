"""Modules shared by the entry and target programs of marigoldfield."""
