"""Reservations of worker slots ahead of time, over the whole fleet, agreed on by its voters.

The package owns the reservation table (the state machine of a replicated log), the limits and recurrence
rules, the service that takes requests at any scheduler and brings them to the leader, and the HTTP API.
It may import `reedspoke.fleet` and, in `component.py`, `log_writer.py` and `subsystem.py` alone,
`reedspoke.net`. All other modules are free of I/O.
"""
