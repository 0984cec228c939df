"""Target selection, attempts, retries and quarantine of requests."""
