"""Where a request may go: regions of routes and organisations, and evacuations."""
