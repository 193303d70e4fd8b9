"""The replicated configuration state: a pure state machine of chain replication, and its driver."""
