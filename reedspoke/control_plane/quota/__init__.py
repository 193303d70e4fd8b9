"""Quotas of tenants: what the control plane grants of a tenant's rate, in any window, over the whole fleet.

Data plane schedulers ask for each request of a tenant with a limit. Each tenant has a few owners among the
voters, each with a token bucket for its share. This package owns

- `share`: which share of a tenant's quota this process may grant, by a lease that contact with a majority
  renews;
- `token_bucket`: the units of one tenant's share, which can be lent;
- `allocator`: grants, refusals and loans between control plane nodes, for all tenants;
- `service`: the allocator joined to sessions, peers and the clock.

All but `service` are pure and take the time, in seconds of the steady clock, as an argument. The package may
import `peers.messages`, `reedspoke.common` and the invariants of `reedspoke.telemetry`. `docs/quotas.md` has
the reasons.
"""
