"""Singleton roles: tasks that at most one scheduler of the fleet carries out at a time, guarded by leases.

The operator file, the command line, the wire and the metrics call a role a *duty*, and the voters
*granters*. These terms are mapped to the ones used here in `reedspoke.assembly`, `fleet.status`,
`fleet.metrics` and, for the header `X-Duty`, in `call_client`.

Owns: the roles of this member and the known holder of each role (`singleton_roles`), and the two general
handlers of a role: one that calls an HTTP address periodically (`periodic_call`, with its client
`call_client`) and one that delegates the role to a subsystem with I/O of its own (`delegated`). Imports
`fleet.lease`, `fleet.messages`, `fleet.events` and the base class of effects from `reedspoke.net.effects`.
Only `call_client` imports more of `reedspoke.net` and performs I/O.
"""
