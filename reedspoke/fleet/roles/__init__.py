"""Singleton roles: what exactly one scheduler of the fleet does at a time, each guarded by a lease.

The operator file, the command line, the wire and the metrics call a role a *duty*, and the voters
*granters*; those words are mapped to the ones used here in `reedspoke.assembly`, `fleet.status`,
`fleet.metrics` and, for the header `X-Duty`, in `call_client`.

Owns: the roles of this member, who is known to hold each of them (`singleton_roles`), and the two general
handlers of a role: one that calls an HTTP address periodically (`periodic_call`, with its client
`call_client`) and one that delegates the role to a part with I/O of its own (`delegated`). Imports
`fleet.lease`, `fleet.messages`, `fleet.events` and the base of effects from `reedspoke.net.effects`;
`call_client` alone imports more of `reedspoke.net` and performs I/O.
"""
