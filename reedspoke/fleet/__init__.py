"""Protocols between schedulers: load sharing, failure detection, leases, member entries and a replicated log.

Owns: all messages that the schedulers of a fleet exchange, their protocols, and the `fleet` object of the
operator file (`settings`). Each protocol is a module without I/O that owns its state:

- `load_sharing`: the worker slots that the attempts of each scheduler have reserved,
- `failure_detector`: the members that are alive (SWIM),
- `lease` and `roles`: singleton roles, each held by one member at a time (PaxosLease),
- `anti_entropy`: the entry that each member writes about itself, replicated to all members,
- `replicated_log`: commands that a majority of the voters has agreed on.

Layering, from the bottom: `messages`, `transport`, the protocols, `node` (combines the protocols), `status`
and `metrics`, `component` (connects the node to the reducer), `service` (builds all of it).
`simulator_transport` carries load sharing alone, on the simulator.

From the rest of the program, the protocols import only `reedspoke.errors`, the types of `reedspoke.logic`
and the base classes of `events` from `reedspoke.net.effects`. `transport.udp_socket`, `roles.call_client`,
`component` and `service` may import `reedspoke.net`; nothing here imports `reedspoke.booking` or
`reedspoke.operator`.

The package is imported only if it is used: `reedspoke.start`, `reedspoke.assembly` and `reedspoke.adapter`
load it when the settings allow messages between schedulers.
"""
