"""Leases without disks or a common clock: at most one member at a time holds the lease of a singleton role.

Owns: the grants of this member as a voter (`voter`), its own proposal and lease (`participant`), the layout
of proposal numbers, which also serve as fencing tokens (`tokens`), and the events and effects of a
participant (`events`). Performs no I/O. Imports only `fleet.messages`; `fleet.roles` builds on it.
"""
