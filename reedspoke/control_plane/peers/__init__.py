"""Connections and messages between control plane nodes.

The package owns the listening port for other nodes, the connections in both directions and the queues of
messages to peers. It passes messages on by type and knows nothing of their meaning. It may import
`reedspoke.common` and the messages of `replication` and `tallies`.
"""
