"""Delivery of published state to data plane nodes over sessions, and fleet membership.

The package owns the parsed and encoded configurations (`configuration_cache`), the moment as of which the
published one is confirmed (`configuration_publisher`), the sessions (`edge_sessions`) and the membership
(`membership`, `load_totals`). `published_state` joins the sources that a data plane node can fetch. It may
import `reedspoke.common`, `peers.messages`, `workers.worker_list` and the types of `replication`.
"""
