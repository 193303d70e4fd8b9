"""Advance reservations of worker slots across the fleet, replicated by consensus among its voters.

The package contains the reservation table (the state machine of a replicated log), the limits and recurrence
rules, the service that accepts requests at any scheduler and forwards them to the leader, and the HTTP API.
It may import `reedspoke.fleet`. Only `component.py`, `log_writer.py` and `subsystem.py` may import
`reedspoke.net`, apart from a type of effects in `booking_node.py`. All other modules perform no I/O.
"""
