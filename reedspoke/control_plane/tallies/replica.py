"""The state machine of one node's tallies: it maps events to effects, without I/O, clocks or threads."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.tallies.acknowledgements import Acknowledgements, WaitingAdd
from reedspoke.control_plane.tallies.catch_up import CatchUp
from reedspoke.control_plane.tallies.events import (
    AddSubmitted,
    CallCompleted,
    Effect,
    Event,
    LogEvent,
    MessageReceived,
    SendMessage,
    SendOrderMessage,
    StoreCompleted,
    StoreRecords,
    SyncSubmitted,
    Tick,
)
from reedspoke.control_plane.tallies.known_orders import KnownOrders
from reedspoke.control_plane.tallies.messages import (
    INTERNAL_TALLY_PREFIX,
    OrderMessage,
    OrderNumbersReply,
    OrderNumbersRequest,
    TallyAdd,
    TallyCursor,
    TallyDigest,
    TallyEntries,
    TallyMessage,
    TallyPull,
    TallyStateChunk,
    TallyStateRequest,
    VersionVector,
)
from reedspoke.control_plane.tallies.order_syncs import OrderSyncs, OwnNumbers
from reedspoke.control_plane.tallies.peer_contacts import PeerContacts
from reedspoke.control_plane.tallies.records import (
    complete_records,
    restore,
)
from reedspoke.control_plane.tallies.settings import (
    DIGEST_INTERVAL_S,
    MAX_ENTRIES_PER_PULL,
    MAX_IDS_PER_CHUNK,
    MAX_QUEUED_ADDS,
    MAX_RETAINED_ENTRIES,
    MAX_TALLIES,
    MIN_REWRITE_BYTES,
    PROCESS_STOP_GAP_S,
    REWRITE_GROWTH,
    TallySettings,
)
from reedspoke.control_plane.tallies.state_exchange import answer_pull, state_chunk
from reedspoke.control_plane.tallies.state_transfers import StateTransfers
from reedspoke.control_plane.tallies.store_queue import Batch, StoreQueue, batch_records
from reedspoke.control_plane.tallies.version_vectors import covers, lower_bound
from reedspoke.telemetry.invariants import Invariant, check

AUDIT_INTERVAL_S = 2.0  # interval between checks of one tally's total against its adds
NOT_CAUGHT_UP = "this node has not caught up with the other nodes yet"


class TallyReplica:
    """Owns the counts, their log, the contacts with peers and the queue of records to be stored.

    `records` are those of the folder's log. Raises FleetError STORAGE_CORRUPT if they cannot be read.
    """

    def __init__(self, settings: TallySettings, records: Sequence[bytes], now: float) -> None:
        self._settings = settings
        self._state = restore(records)
        self._contacts = PeerContacts(settings.incarnation, now)
        self._queue = StoreQueue(self._state.log.vector)
        self._catch_up = CatchUp(now, waits_for_peer=settings.created and not settings.bootstrap)
        self._transfers = StateTransfers(self._catch_up, self._state, self._queue)
        self._acknowledgements = Acknowledgements(settings.copies, self._state, self._contacts)
        self._syncs = OrderSyncs(settings.copies, settings.incarnation, self._contacts, self._own_numbers)
        self._known_orders = KnownOrders(settings.copies, now, is_first_start=self._is_first_start())
        self._effects: list[Effect] = []
        self._ticked_at = now
        self._next_digests_at = now
        self._next_audit_at = now
        self._log_bytes = sum(map(len, records))
        self._rewritten_bytes = 0

    # ---- events ----

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Handle one event and return its effects, to be carried out in this order."""
        self._effects = []
        self._detect_process_stop(now)
        match event:
            case AddSubmitted():
                self._submit(now, event)
            case SyncSubmitted(call_id):
                self._submit_sync(now, call_id)
            case StoreCompleted():
                self._stored(now, event)
            case MessageReceived(sender, message):
                self._receive(now, sender, message)
            case Tick(peers):
                self._tick(now, peers)
        self._store_when_due(now)
        return self._effects

    # ---- adds ----

    def _submit(self, now: float, event: AddSubmitted) -> None:
        add = event.add
        key = (add.tally, add.add_id)
        if not self._catch_up.has_caught_up:
            # An acknowledged add must be readable here at once, but this node does not answer reads yet.
            self._effects.append(CallCompleted(event.call_id, ErrorCode.TALLIES_BEHIND, NOT_CAUGHT_UP))
            return
        if self._state.counts.contains(*key):
            # The add was counted here or at a peer, so the current vector of this node includes it.
            waiting = WaitingAdd(dict(self._state.log.vector), (event.call_id,), *key, now)
            self._acknowledgements.wait_for_disks(waiting)
            self._complete_calls(now)
            return
        pending = self._queue.pending_add(key)
        if pending is not None:
            pending.call_ids.append(event.call_id)
            return
        error = self._rejection(now, add.tally)
        if error is not None:
            self._effects.append(CallCompleted(event.call_id, error.code, error.message))
            return
        self._queue.put_own(key, event.call_id, add)

    def _rejection(self, now: float, tally: str) -> FleetError | None:
        """The reason to reject an add before it has any effect; None to accept it."""
        counts = self._state.counts
        if not self._queue.disk_works(now):
            return FleetError(ErrorCode.STORAGE_FAILED, "the disk of this node is failing")
        if tally.startswith(INTERNAL_TALLY_PREFIX):
            return None
        if self._acknowledgements.waiting_adds + len(self._queue.waiting.own) >= MAX_QUEUED_ADDS:
            return FleetError(ErrorCode.OVERLOADED, "too many adds are waiting for the disk or for peers")
        if counts.id_count + len(self._queue.waiting.own) >= self._settings.max_ids:
            return FleetError(ErrorCode.TALLIES_FULL, "this node has reached its limit of counted adds")
        if not counts.is_known(tally) and counts.tally_count >= MAX_TALLIES:
            return FleetError(ErrorCode.TALLIES_FULL, "this node has reached its limit of tallies")
        return None

    def _complete_calls(self, now: float) -> None:
        self._effects += self._acknowledgements.completed(now)
        self._effects += self._syncs.completed(now)

    # ---- syncs: this node gets the numbers of all orders that were acknowledged before the call ----

    def _submit_sync(self, now: float, call_id: int) -> None:
        if not self._syncs.may_reach_quorum(now):
            message = "too few nodes are reachable for a quorum"
            self._effects.append(CallCompleted(call_id, ErrorCode.NO_QUORUM, message))
            return
        self._syncs.begin(call_id, now)
        self._effects += self._syncs.requests()
        for address in self._contacts.addresses:
            self._send_digest(now, address)  # for nodes of a version without requests
        self._complete_calls(now)

    def _own_numbers(self) -> OwnNumbers:
        adds = (*self._state.counts.highest_order_adds(), *self._queue.unsynced_order_adds())
        return OwnNumbers(self._settings.folder_id, self._state.recovered, adds, self._state.log.vector)

    def _receive_order_message(self, now: float, sender: str, message: OrderMessage) -> None:
        match message:
            case OrderNumbersRequest():
                self._effects.append(SendOrderMessage(sender, self._syncs.reply_to(message)))
            case OrderNumbersReply():
                self._syncs.reply_received(sender, message)
                self._complete_calls(now)

    def _recover(self) -> None:
        """Mark this folder as recovered once it has all that a quorum has.

        Only recovered folders count in quorums. A folder created at the first start of the whole system is
        recovered from the beginning.
        """
        if self._state.recovered or self._queue.waiting.recovered:
            return
        if self._is_first_start() or self._acknowledgements.covers_quorum(self._contacts.observed_since):
            self._queue.waiting.recovered = True

    def _is_first_start(self) -> bool:
        return self._settings.created and self._settings.bootstrap

    # ---- the disk ----

    def _store_when_due(self, now: float) -> None:
        if not self._queue.is_due(now):
            return
        batch = self._queue.begin(now)
        records = tuple(batch_records(batch, self._own_entries(batch)))
        self._log_bytes += sum(map(len, records))
        if self._log_bytes > MIN_REWRITE_BYTES + self._rewritten_bytes * (1 + REWRITE_GROWTH):
            self._rewrite(records)
        else:
            self._effects.append(StoreRecords(self._queue.token, records))

    def _rewrite(self, records: tuple[bytes, ...]) -> None:
        rewritten = (*complete_records(self._state), *records)
        self._rewritten_bytes = self._log_bytes = sum(map(len, rewritten))
        self._effects.append(StoreRecords(self._queue.token, rewritten, replace=True))

    def _own_entries(self, batch: Batch) -> TallyEntries:
        """The own adds of a batch, numbered after the newest synced one."""
        number = self._state.log.vector.get(self._settings.folder_id, 0)
        adds = tuple(own.add for own in batch.own.values())
        return TallyEntries(self._settings.folder_id, number + 1, adds)

    def _stored(self, now: float, event: StoreCompleted) -> None:
        if event.token != self._queue.token or self._queue.in_flight is None:
            return
        if event.error is not None:
            self._store_failed(now, event.error)
            return
        batch = self._queue.succeeded()
        self._apply_own(now, batch)
        for received in batch.entries:
            self._state.apply_entries(received.entries)
        for items in batch.items:
            self._effects += self._transfers.chunk_stored(now, items)
        self._state.recovered |= batch.recovered
        for sender in sorted({received.sender for received in batch.entries}):
            self._send_digest(now, sender)
        self._state.log.drop_oldest(MAX_RETAINED_ENTRIES)
        self._complete_calls(now)

    def _store_failed(self, now: float, error: ErrorCode) -> None:
        lost = self._queue.failed(self._state.log.vector, now)
        self._catch_up.transfer = None
        # The disk may have kept some of the records, so it is unknown whether these adds count.
        for own in lost.own.values():
            for call_id in own.call_ids:
                self._effects.append(
                    CallCompleted(call_id, ErrorCode.TALLY_UNCLEAR, "storing the add failed; it may count")
                )
        self._effects.append(LogEvent(logging.WARNING, "storing tallies failed", {"code": int(error)}))

    def _apply_own(self, now: float, batch: Batch) -> None:
        if not batch.own:
            return
        entries = self._own_entries(batch)
        self._state.apply_entries(entries)
        self._queue.expected[entries.origin] = self._state.log.vector[entries.origin]
        number = entries.first
        for own in batch.own.values():
            required = {entries.origin: number}
            waiting = WaitingAdd(required, tuple(own.call_ids), own.add.tally, own.add.add_id, now)
            self._acknowledgements.wait_for_disks(waiting)
            number += 1
        for address in self._contacts.addresses:
            self._effects.append(SendMessage(address, entries))

    # ---- messages ----

    def _receive(self, now: float, sender: str, message: TallyMessage | OrderMessage) -> None:
        match message:
            case TallyDigest():
                self._receive_digest(now, sender, message)
            case TallyEntries():
                self._catch_up.pull_answered(sender)
                if not self._queue.put_entries(sender, message):
                    # Earlier entries were lost with a connection. The next digest would show that only later.
                    self._pull(now, self._catch_up.pull_after_gap(sender, now))
            case TallyPull(vector):
                self._answer_pull(sender, vector)
            case TallyStateRequest(after):
                self._send_chunk(sender, after)
            case TallyStateChunk():
                self._transfers.receive_chunk(now, sender, message)
            case OrderNumbersRequest() | OrderNumbersReply():
                self._receive_order_message(now, sender, message)

    def _receive_digest(self, now: float, sender: str, digest: TallyDigest) -> None:
        is_new_process = digest.incarnation != self._contacts.peer(sender).incarnation
        if not self._contacts.digest_received(sender, digest, now):
            return
        # Each process of a peer gets only one reply: with more, digests would answer each other without end
        # when messages are delayed.
        if is_new_process:
            self._send_digest(now, sender)
        self._catch_up.check_caught_up(self._contacts, self._state.log.vector, now)
        self._complete_calls(now)

    def _answer_pull(self, sender: str, vector: VersionVector) -> None:
        incarnation = self._settings.incarnation
        for answer in answer_pull(self._state, vector, incarnation, MAX_ENTRIES_PER_PULL, MAX_IDS_PER_CHUNK):
            self._effects.append(SendMessage(sender, answer))

    def _send_chunk(self, sender: str, after: TallyCursor) -> None:
        chunk = state_chunk(self._state, after, self._settings.incarnation, MAX_IDS_PER_CHUNK)
        self._effects.append(SendMessage(sender, chunk))

    # ---- timer ----

    def _detect_process_stop(self, now: float) -> None:
        """Restart the contact time-outs after a pause of the process, in which it received no digests.

        It is called for every event, because any event may be handled before the first tick after the pause.
        """
        if now - self._ticked_at > PROCESS_STOP_GAP_S:
            self._contacts.restart_contact_timeout(now)
            self._ticked_at = now

    def _tick(self, now: float, peers: frozenset[str]) -> None:
        self._ticked_at = now
        self._contacts.set_members(peers, now)
        self._catch_up.check_caught_up(self._contacts, self._state.log.vector, now)
        self._known_orders.update(self._contacts, self._state, now)
        self._recover()
        self._complete_calls(now)
        self._effects += self._syncs.requests()
        if now >= self._next_digests_at:
            self._next_digests_at = now + DIGEST_INTERVAL_S
            self._drop_replicated_entries(peers)
            for address in self._contacts.addresses:
                self._send_digest(now, address)
        else:
            for address in self._contacts.unreachable_addresses(now):
                self._send_digest(now, address)  # A round trip soon shows the end of a partition.
        if now >= self._next_audit_at:
            self._next_audit_at = now + AUDIT_INTERVAL_S
            self._audit()
        self._pull_when_due(now)

    def _pull_when_due(self, now: float) -> None:
        self._pull(now, self._catch_up.next_pull(self._contacts, self._queue.expected, now))

    def _pull(self, now: float, address: str | None) -> None:
        if address is None or not self._queue.disk_works(now):
            return
        self._catch_up.pull_sent(address, now)
        self._effects.append(SendMessage(address, TallyPull(dict(self._queue.expected))))

    def _drop_replicated_entries(self, peers: frozenset[str]) -> None:
        """Drop the entries that every peer has, as no peer pulls them.

        A node that joins later receives the whole state.
        """
        common = self._state.log.vector
        for address in peers:
            common = lower_bound(common, self._contacts.peer(address).vector)
        self._state.log.drop_through(common)

    def _send_digest(self, now: float, address: str) -> None:
        peer = self._contacts.peer(address)
        digest = TallyDigest(
            folder_id=self._settings.folder_id,
            incarnation=self._settings.incarnation,
            sequence=self._contacts.digest_sent(address, now),
            echo_incarnation=peer.incarnation,
            echo=peer.received_sequence,
            writable=self._queue.disk_works(now),
            recovered=self._state.recovered,
            vector=dict(self._state.log.vector),
        )
        self._effects.append(SendMessage(address, digest))

    def _audit(self) -> None:
        audited = self._state.counts.audit_next()
        if audited is not None:
            tally, is_right = audited
            check(Invariant.TALLY_COUNTS_ONCE, is_right, tally=tally)

    # ---- queries ----

    def total(self, tally: str, now: float) -> int:
        """The sum of a tally's adds. Raises FleetError TALLIES_BEHIND if this node may lack adds."""
        if not self._catch_up.has_caught_up:
            raise FleetError(ErrorCode.TALLIES_BEHIND, NOT_CAUGHT_UP)
        if self._queue.in_flight is not None and not self._queue.disk_works(now):
            raise FleetError(
                ErrorCode.TALLIES_BEHIND,
                "the disk of this node is failing, so other nodes may have more adds",
            )
        return self._state.counts.total(tally)

    def newest(self, tally: str) -> TallyAdd | None:
        """The add of a tally with the highest id; None if there is none."""
        return self._state.counts.newest(tally)

    def newest_by_prefix(self, prefix: str) -> list[TallyAdd]:
        """The newest adds of the tallies that hold orders and have this prefix."""
        found = [self._state.counts.newest(name) for name in self._state.counts.order_tallies(prefix)]
        return [add for add in found if add is not None]

    @property
    def folder_id(self) -> str:
        """The id of this node's data folder."""
        return self._settings.folder_id

    def order_numbers(self) -> tuple[TallyAdd, ...]:
        """What this node has in the tallies that hold orders, as in `OrderNumbersReply`."""
        return self._own_numbers().adds

    def folders_in_contact(self, now: float) -> frozenset[str] | None:
        """The data folders of this node and of those in contact; None while no order can be stored here."""
        may_store = self._state.recovered and self._catch_up.has_caught_up
        if not may_store or not self._syncs.may_reach_quorum(now):
            return None
        return frozenset((self.folder_id, *(peer.folder_id for peer in self._contacts.in_contact(now))))

    def has_all_acknowledged(self) -> bool:
        """Whether this node has all orders that were acknowledged before it started."""
        return self._known_orders.are_known

    def is_replicated(self, now: float) -> bool:
        """Whether every peer in contact has on its disk all that this node has."""
        if self._acknowledgements.waiting_adds or self._queue.waiting or self._queue.in_flight is not None:
            return False
        vector = self._state.log.vector
        return all(covers(peer.vector, vector) for peer in self._contacts.in_contact(now))

    def metric_values(self, now: float) -> dict[str, float]:
        """The values for the metrics."""
        return {
            "tallies": self._state.counts.tally_count,
            "ids": self._state.counts.id_count,
            "max_ids": self._settings.max_ids,
            "entries_retained": self._state.log.retained_count,
            "origins": len(self._state.log.vector),
            "waiting_adds": self._acknowledgements.waiting_adds,
            "peers_in_contact": len(self._contacts.in_contact(now)),
            "copies_needed": self._contacts.copies_needed(self._settings.copies, now),
            "caught_up": self._catch_up.has_caught_up,
            "recovered": self._state.recovered,
            "disk_works": self._queue.disk_works(now),
        }
