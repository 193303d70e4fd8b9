"""Worker discovery: one control plane node at a time polls the platform's list and publishes changes.

This package owns

- the discovery lease (`discovery_lease`, `lease_voter`): which node polls, and under which term;
- the newest worker list that this process knows (`worker_list`), whose version begins with the term;
- the polling itself (`discovery`), with the HTTP client in `platform_client` and the platform's message
  types in `platform_messages`.

The lease and the list do no I/O and take the time as an argument. Only `discovery` and `platform_client` do
I/O. The package may import `peers.messages`, `reedspoke.common` and the HTTP parser of `reedspoke.net`. The
process, the delivery and the API import it.
"""
