"""Leases without disks or a common clock: at most one member at a time holds the lease of a singleton role.

Owns: what this member has voted for (`voter`), its own proposal and lease (`participant`), the layout of
proposal numbers, which double as fencing tokens (`tokens`), and the events and effects of a participant
(`events`). Performs no I/O. Imports `fleet.messages` only; `fleet.roles` stands on it.
"""
