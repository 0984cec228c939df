"""Benchmarks that print figures and compare them with their bounds."""
