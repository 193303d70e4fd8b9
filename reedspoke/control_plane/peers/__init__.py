"""Connections and messages between control plane nodes.

The package owns the port on which the node listens for other nodes, the connections in both directions and
the queues of messages to peers. It forwards received messages by type and does not interpret them. It may
import `reedspoke.common` and the messages of `replication` and `tallies`.
"""
