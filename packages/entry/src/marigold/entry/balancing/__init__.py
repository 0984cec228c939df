"""Placement from figures that are old or vary, and by the sizes of requests."""
