"""Execution of request attempts at the back end of the host."""
