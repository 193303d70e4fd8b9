"""The replicated configuration state: a pure state machine of chain replication, and its driver.

Replicated state
    One register, the newest configuration, with the history of accepted changes. Operators change it by
    compare-and-swap (a change names the generation that it builds on); reads are linearizable.

Protocol
    Chain replication (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and
    Availability", OSDI 2004). Changes enter at the head; each member syncs an entry to its disk and then
    forwards it; what the tail has synced is committed; reads are answered by the tail. A chain of `f + 1`
    members tolerates the loss of `f` of them. The members themselves replace the master service of the
    paper: a *view* names the chain and the voters on the next view, and each view is decided by the voters
    of the view before it, with single-decree Paxos (Lamport, "Paxos Made Simple", 2001; see
    `control_plane.views`). A new member is appended to the chain as its tail, and receives a snapshot of
    its predecessor's state.

Races, and the protection against each
    * A message of an earlier view arrives late. Each message of the chain carries its view, and messages of
      another view are ignored (`Chain.receive`); a view takes effect only once it is on disk
      (`ViewAgreement`).
    * A member acknowledges an entry that it loses in a crash. Status, forwarding and commit wait for the sync
      (`ConfigurationRegister.append`, `Chain._entry_synced`); a disk that refused a write counts as failed
      until the whole log has been rewritten (`Outbox`); a member that detects the loss of synced entries
      counts as failed until it has installed a snapshot (`Chain._detect_lost_state`).
    * A chain repair treats an incomplete copy as complete. `Heartbeat.synced_since` is 0 while a snapshot is
      being stored, and is compared with the view that appended the member (`Chain.complete`).
    * A partitioned tail answers reads after the other members have entered a newer view. The tail needs a
      read lease from a majority of voters; a voter that has granted one accepts no view with another tail
      until the lease has expired or was released (`TailReader`, `grants`, `views.read_lease`).
    * A partitioned head rejects a change that the others would acknowledge. A rejection is final, so the tail
      has to confirm, under its read lease, that the head's view is in force (`RejectionConfirmer`).
    * A partitioned member delivers outdated state as current. State is delivered with the time as of which a
      majority has confirmed the view (`ReceivedGrants.confirmed_as_of`, `views.majority_contact`).
    * A change is submitted again after its answer was lost. The history has it by generation and digest, so
      it is acknowledged again without being applied (`decide_change`, `ChangeHistory`).
    * Two changes build on one generation. The head decides one change at a time, and only once all earlier
      entries are committed in its own view (`HeadQueue`, `ConfigurationRegister.nothing_in_flight`).
    * A process that was stopped treats others as lost, as it has received nothing from them. After a gap
      between two ticks no replica counts as lost until a full time-out has passed
      (`Replica._detect_process_stop`, `ChainRepair`).
    * A seed whose disk was lost votes on a second first view. Only a folder whose log says that it was
      created at the first start takes part in that decision (`FirstStart`).

Ownership of state
    `Replica` owns the parts, `ReplicaDriver` the replica and the pending calls, `ReplicaStorage` the open
    log. Each module names the state that it owns. `docs/control-safety.md` has the argument for correctness.

Imports
    `common`, `telemetry`, `control_plane.views` (agreement and leases) and `control_plane.storage` (the log);
    nothing from delivery, workers, quota, peers or api. Only `driver`, `replica_storage` and `pending_calls`
    use I/O, clocks and threads; tests run all other modules in virtual time.
"""
