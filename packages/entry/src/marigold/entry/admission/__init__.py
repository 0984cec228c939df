"""Admission control: limits, their shares among the entries, and queues."""
