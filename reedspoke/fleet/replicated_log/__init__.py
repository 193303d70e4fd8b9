"""A log of commands that is replicated to the voters of the fleet and applied to a state machine at each.

The package owns one replica's copy of the log, the protocol that keeps the copies equal, and their
storage on disk. `replicated_log.py` is the entry point and explains why the protocol is safe. Everything
but `log_store.py` is free of I/O. It imports nothing of the rest of `reedspoke.fleet`: who leads is
decided by a lease outside, and messages are carried by whoever owns the `ReplicatedLog`.
"""
