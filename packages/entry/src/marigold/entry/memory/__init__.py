"""Memory that callers' bodies and answers may hold in this process."""
