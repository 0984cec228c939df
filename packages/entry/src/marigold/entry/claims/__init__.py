"""Claims on idempotency keys, which let a keyed request run at most once."""
