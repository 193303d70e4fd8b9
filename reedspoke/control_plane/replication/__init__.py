"""The replicated configuration state: a pure state machine of chain replication, and its driver.

What is replicated
    One register, the newest configuration, with the history of the changes that led to it. Operators
    change it by compare-and-swap (a change names the generation that it builds on) and read it
    linearizably.

The protocol
    Chain replication (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and
    Availability", OSDI 2004). Changes enter at the head; each member syncs an entry to its disk and then
    forwards it; what the tail has synced is committed; reads are answered by the tail. A chain of `f + 1`
    members bears the loss of `f` of them. The master service of the paper is replaced by the members
    themselves: a *view* names the chain and the voters on the next view, and each view is decided by the
    voters of the one before it, with single-decree Paxos (Lamport, "Paxos Made Simple", 2001; see
    `control_plane.views`). A member is appended to the chain by a snapshot of its predecessor's state.

The races, and the guard against each
    * A message of an earlier view arrives late. Each message of the chain carries its view, and one of
      another view changes nothing (`Chain.receive`); a view takes effect only once it is on disk
      (`ViewAgreement`).
    * A member acknowledges what a crash takes back. Status, forwarding and commit wait for the sync
      (`ConfigurationRegister.append`, `Chain._entry_synced`); a disk that refused a write counts as failed
      until the whole log has been rewritten (`Outbox`); a member that finds that synced entries are gone
      counts as failed until it has installed a snapshot (`Chain._detect_lost_state`).
    * A repair takes an incomplete copy for a complete one. `Heartbeat.synced_since` is 0 while a snapshot is
      being stored, and is compared with the view that appended the member (`Chain.complete`).
    * A partitioned tail answers reads after the others have gone on. The tail needs a read lease of a
      majority of voters; a voter that has granted one accepts no view with another tail until it has run
      out or was released (`TailReader`, `grants`, `views.read_lease`).
    * A partitioned head rejects a change that the others would acknowledge. A rejection is final, so the tail
      has to confirm, under its read lease, that the head's view is in force (`RejectionConfirmer`).
    * A partitioned member delivers old state as new. State is handed over with the time as of which a
      majority has confirmed the view (`ReceivedGrants.confirmed_as_of`, `views.majority_contact`).
    * A change is submitted again after its answer was lost. The history has it by generation and digest, and
      it is acknowledged a second time and not applied (`decide_change`, `ChangeHistory`).
    * Two changes build on one generation. The head decides one change at a time, and only once everything
      before it is committed in its own view (`HeadQueue`, `ConfigurationRegister.nothing_in_flight`).
    * A stopped process judges the others by what it has missed. After a gap between two ticks nobody counts
      as lost until it has been listened for (`Replica._detect_process_stop`, `ChainRepair`).
    * A seed whose disk was lost votes on a second first view. Only a folder whose log says that it was made
      at the first start has a part in it (`FirstStart`).

Owners of state
    `Replica` owns the parts, `ReplicaDriver` the replica and the pending calls, `ReplicaStorage` the open
    log. Each module names the state that it owns. `docs/control-safety.md` argues why the whole is right.

Imports
    `common`, `telemetry`, `control_plane.views` (agreement and leases) and `control_plane.storage` (the log);
    nothing of delivery, workers, quota, peers or api. All modules but `driver`, `replica_storage` and
    `pending_calls` are free of I/O, clocks and threads, so that the tests drive them in virtual time.
"""
