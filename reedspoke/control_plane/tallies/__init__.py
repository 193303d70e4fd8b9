"""Tallies: counts to which applications add, and which they read, at any control plane node.

What is replicated
    For each tally the set of adds that were made to it, each with its id and its amount. An id counts once,
    wherever and however often it arrives; the total of a tally is the sum over its ids. Nodes that cannot
    reach each other go on counting, and agree again after they have exchanged what they lack.

The protocol
    The state is a state-based CRDT (Shapiro et al., "Conflict-free Replicated Data Types", 2011): a map that
    only grows, joined id by id (of two amounts for one id, the smaller). The join is commutative, associative
    and idempotent, so neither order nor repetition of messages matters, and no majority is needed. To send
    differences alone, adds are numbered by their origin, the data folder that took them, and each node keeps
    a version vector: for each origin, up to which number it has all adds ("Epidemic Algorithms for Replicated
    Database Maintenance", Demers et al., 1987). New adds are pushed to all peers; digests carry the vectors,
    and who lacks something pulls it. A node that lacks more than the others retain as a log pulls the whole
    state in chunks and joins it.

The races, and the guard against each
    * An id arrives at two nodes that cannot reach each other. Both count it, under numbers of their own; the
      join counts it once (`AmountsById.put`).
    * A number is used for two adds. An add gets its number in the batch that stores it, and is sent only once
      that batch is synced; a batch that failed is removed before the next is written (`TallyReplica`,
      `storage.LogWriter`). A folder that was lost comes back under another id, as a new origin.
    * An acknowledged add goes with a lost disk. In touch, an add is acknowledged once it is synced on as many
      disks as may be lost and one more; a peer stops being waited for only when no round trip with it has
      succeeded for APART_AFTER_S while this process was running (`PeerContacts.expected`).
    * A process that was stopped counts its peers as gone. After a gap without ticks it listens anew,
      whatever event comes first (`TallyReplica._detect_process_stop`).
    * A node that was restarted, or lost its disk, is read before it has what the others have. It rejects
      reads until it has caught up with each peer in reach (`CatchUp`).
    * Part of a transferred state is taken for all of it. The vector that came with the first chunk is adopted
      only when the last one is synced, and all came from one process: a source that was started again may
      have lost its disk in between (`StateTransfer`, `CatchUp.takes_chunk`).
    * Orders of operators (`control_plane.evacuation`) need more than a join: the next one has to know the
      last. They are on f + 1 disks without exception, and a quorum of nodes that have lost nothing is asked
      before
      (`Acknowledgements.has_what_a_quorum_has`).

Bounds
    Ids are kept for good, as a repeated add has no age limit: some 18 bytes each in memory and 10 on disk.
    When `max_ids` is reached, adds are rejected with nothing done. Retained log entries are bounded; dropping
    them early costs a transfer of the state, never a count. `docs/tallies.md` weighs this.

Owners of state
    `TallyReplica` owns the counts, the log of entries, the contacts and the transfer; `TallyService` the
    calls that wait; `TallyStorage` the file. All but `service` and `storage` are free of I/O, clocks and
    threads. The package may import `common`, `telemetry` and `control_plane.storage`.
"""
