"""Hosts, targets and other entries."""
