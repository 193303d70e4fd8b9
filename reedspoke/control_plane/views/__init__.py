"""Agreement on views, and the leases that rest on a view.

A view (`replication.view`) names the voters and the order of the replication chain. This package owns

- the decision on the next view: `next_view`, `largest_chain` and `first_view` choose it, `proposer` and
  `acceptor` decide it by single-decree Paxos, and `agreement` joins them to the log;
- the read lease of the chain's tail (`read_lease`), and the confirmation by a majority of voters that a
  replica acts in the newest view (`majority_contact`).

Nothing here does I/O or reads a clock: messages and log writes go to the replica's `Outbox`, which also holds
the time of the event that is being handled. The package may import `replication.view`, its messages, settings
and outbox, and `log_records`; `replication` drives it.
"""
