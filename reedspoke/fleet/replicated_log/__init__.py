"""A log of commands that is replicated to the voters of the fleet and applied to a state machine at each.

The package owns one replica's copy of the log, the protocol that keeps the copies equal, and their
storage on disk. `replicated_log.py` is the entry point and explains why the protocol is safe. Only
`log_store.py` performs I/O. The package imports nothing from the rest of `reedspoke.fleet`: the leader is
chosen by a lease outside of it, and the owner of the `ReplicatedLog` transmits the messages.
"""
