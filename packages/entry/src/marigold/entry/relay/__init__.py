"""Relaying of callers' requests to the runners of a platform.

The policies take the current state and time as arguments and do no I/O: `placement`,
`queueing`, `retry_budget`, `health`, `freshness` and `minimum_versions`. The modules
`frontend`, `forwarding` and `streams` transfer data and call the policies; `watchdog`
bounds the wait for a runner, and `crashes` detects runners that crashed. `serving` and
`execution` take a request from the queue to its answer.
"""
