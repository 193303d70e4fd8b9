"""Delivery of published state to data plane nodes over sessions, and the fleet membership.

"Edge" in names stands for a data plane node. The package owns the parsed and encoded configurations
(`configuration_cache`), the time as of which the published one is confirmed (`configuration_publisher`), the
sessions (`edge_sessions`) and the membership (`membership`, `load_totals`). `published_state` combines the
sources that a data plane node can fetch. The package may import `reedspoke.common`, `peers.messages`,
`workers.worker_list` and the types of `replication`.
"""
