"""Timeline of logged events across all processes."""
