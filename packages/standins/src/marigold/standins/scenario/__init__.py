"""Scripted test scenarios of traffic, faults and expectations."""
