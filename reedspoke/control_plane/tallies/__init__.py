"""Tallies: counters to which applications add, and which they read, at any control plane node.

What is replicated
    For each tally the set of adds that were made to it, each with its id and its amount. An id counts once,
    wherever and however often it arrives; the total of a tally is the sum over its ids. Nodes that cannot
    reach each other continue counting, and agree again after they have exchanged the adds that they lack.

The protocol
    The state is a state-based CRDT (Shapiro et al., "Conflict-free Replicated Data Types", 2011): a map that
    only grows, joined id by id (of two amounts for one id, the smaller). The join is commutative, associative
    and idempotent, so neither order nor repetition of messages matters, and no majority is needed. To send
    only differences, adds are numbered by their origin, the data folder in which they were first stored, and
    each node keeps a version vector: for each origin, the number up to which it has all adds ("Epidemic
    Algorithms for Replicated Database Maintenance", Demers et al., 1987). New adds are pushed to all peers;
    digests carry the vectors, and a node that lacks adds pulls them. A node that lacks more than the others
    retain in their logs pulls the whole state in chunks and joins it.

The races, and the guard against each
    * An id arrives at two nodes that cannot reach each other. Both count it, under numbers of their own; the
      join counts it once (`AmountsById.put`).
    * A number is used for two adds. An add gets its number in the batch that stores it, and is sent only
      after that batch is synced; a batch that failed is removed before the next is written (`TallyReplica`,
      `storage.LogWriter`). A lost data folder is replaced by one with another id, which is a new origin.
    * An acknowledged add is lost with a disk. Without a partition, an add is acknowledged after it is synced
      on one disk more than may be lost. A node stops waiting for a peer only after no round trip with it has
      succeeded for CONTACT_TIMEOUT_S while this process was running (`PeerContacts.expected`).
    * A paused process takes its peers for unreachable. After a gap between ticks it restarts the contact
      time-outs, whichever event comes first (`TallyReplica._detect_process_stop`).
    * A node that was restarted, or lost its disk, is read before it has the adds of the others. It rejects
      reads until it has caught up with each reachable peer (`CatchUp`).
    * Part of a transferred state is taken for all of it. The vector that came with the first chunk is adopted
      only after the last chunk is synced, and all chunks must come from one process: a source that was
      restarted may have lost its disk in between (`StateTransfer`, `CatchUp.accepts_chunk`).
    * A join is not enough for the orders of operators (`control_plane.evacuation`): each order depends on the
      one before. Orders are always stored on f + 1 disks (f: the machines whose loss is tolerated), and a
      quorum of nodes that have lost nothing is asked before an order is numbered (`order_syncs`).

Bounds
    Ids are never removed, because an add may be repeated at any later time: about 18 bytes each in memory and
    10 on disk. When `max_ids` is reached, adds are rejected without any effect. The number of retained log
    entries is bounded; dropping them early costs a transfer of the state, but never a count.
    `docs/tallies.md` discusses these choices.

Owners of state
    `TallyReplica` owns the counts, the log of entries, the contacts and the transfer; `TallyService` the
    waiting calls; `TallyStorage` the file. All modules except `service` and `storage` are free of I/O, clocks
    and threads. The package may import `common`, `telemetry` and `control_plane.storage`.
"""
