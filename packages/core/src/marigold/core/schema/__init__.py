"""Schema of messages, settings, lists and records."""
