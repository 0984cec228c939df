"""Stand-ins for the systems that marigoldfield works with, for tests and the demo."""
