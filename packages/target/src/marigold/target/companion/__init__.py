"""The companion process, which delivers new weights to a platform's runner."""
