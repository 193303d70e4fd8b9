"""Tenant quotas: limits on the units that the whole fleet grants to a tenant within any time window.

A data plane node requests quota for each request of a tenant with a limit. Each tenant has a few owners among
the voters, and each owner has a token bucket for its share. This package contains

- `share`: the share of a tenant's quota that this process may grant, under a lease that contact with a
  majority renews;
- `token_bucket`: the units of one tenant's share, which can be lent to other owners;
- `allocator`: grants, refusals and loans between control plane nodes, for all tenants;
- `service`: connects the allocator to sessions, peers and the clock.

All modules except `service` do no I/O and take the time, in seconds of the steady clock, as an argument. The
package may import `peers.messages`, `reedspoke.common` and the invariants of `reedspoke.telemetry`.
`docs/quotas.md` explains the design.
"""
