"""Hubs: one entry of each cell watches the store and schedules requests.

A cell is a data centre, or the whole deployment if that is small. The entries of a
cell are ordered by capacity and a hash, and the first live one is the hub: it relays
the store's state to the others and tracks all requests at the cell's model engines.
A hub keeps no durable state. When it fails, the next entry in the order takes over,
and until then each entry schedules its requests itself.

A place is the right to run one request on a runner. Entries ask the hub for places
and give them back with the outcome of the request.
"""
