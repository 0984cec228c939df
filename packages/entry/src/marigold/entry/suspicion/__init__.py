"""Detection and refusal of requests that crash the runners of a platform.

`suspects` decides whether a request is suspected or refused, and `trials` lets suspects
run one at a time. `admission` applies both on an entry, `exchange` replicates suspects
through the hubs, `batching` gathers updates for that, and `persistence` stores refused
requests so that they outlive all processes.
"""
