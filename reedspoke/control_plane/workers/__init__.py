"""Discovery of workers: one control plane node at a time polls the platform's list and publishes what
changed.

This package owns

- the discovery lease (`discovery_lease`, `lease_voter`): who polls, and under which term;
- the newest worker list that this process knows (`worker_list`), whose version begins with the term;
- the polling itself (`discovery`), over `platform_client`, with the platform's own messages in
  `platform_messages`.

Decisions are pure: the lease and the list take the time as an argument. Only `discovery` and
`platform_client` do I/O. The package may import `peers.messages`, `reedspoke.common` and the HTTP parser of
`reedspoke.net`; the process, delivery and the API import it.
"""
