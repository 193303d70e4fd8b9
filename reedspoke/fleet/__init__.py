"""Messages between schedulers: load sharing, failure detection, leases, entries and the replicated log.

Owns: everything that the schedulers of a fleet exchange, its protocols, and the `fleet` object of the
operator file (`settings`). Each protocol is a module without I/O that owns its state:

- `load_sharing`: which worker slots the attempts of each scheduler have reserved,
- `failure_detector`: which members are alive (SWIM),
- `lease` and `roles`: singleton roles, which one member holds at a time (PaxosLease),
- `anti_entropy`: the entry that each member writes about itself, replicated to all,
- `replicated_log`: commands that a majority of the voters agrees on.

Layering, from the bottom: `messages`, `transport`, the protocols, `node` (joins the protocols), `status`
and `metrics`, `component` (joins the node to the reducer), `service` (builds it all). `simulator_transport`
is the short form of it for the simulator.

The protocols import nothing of the program but `reedspoke.errors`, `reedspoke.logic` for its types and
`reedspoke.net.effects` for the bases of `events`. `transport.udp_socket`, `roles.call_client`, `component`
and `service` may import `reedspoke.net`; nothing here imports `reedspoke.booking` or `reedspoke.operator`.

The package is imported only where it is in use: `reedspoke.start`, `reedspoke.assembly` and
`reedspoke.adapter` load it when the settings allow messages between schedulers.
"""
