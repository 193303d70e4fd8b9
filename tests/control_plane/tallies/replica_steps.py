"""Drives one replica step by step, and records what it sends, stores and answers."""

from __future__ import annotations

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.tallies.events import (
    AddSubmitted,
    CallCompleted,
    Event,
    MessageReceived,
    OrderNumbers,
    SendMessage,
    SendOrderMessage,
    StoreCompleted,
    StoreRecords,
    SyncCompleted,
    Tick,
)
from reedspoke.control_plane.tallies.messages import (
    OrderMessage,
    OrderNumbersRequest,
    TallyAdd,
    TallyDigest,
    TallyMessage,
    VersionVector,
)
from reedspoke.control_plane.tallies.records import RecoveredRecord, encode_record
from reedspoke.control_plane.tallies.replica import TallyReplica
from reedspoke.control_plane.tallies.settings import TallySettings

OWN = "f-own"
PEERS = ("p1", "p2", "p3", "p4")


class Steps:
    """One replica of five with its log, and a clock that the test controls.

    Without `records` its folder has recovered, or with `created` was just created. `bootstrap` is set at the
    first start of the fleet.
    """

    def __init__(
        self,
        *,
        records: tuple[bytes, ...] | None = None,
        created: bool = False,
        bootstrap: bool = False,
        max_ids: int = 1000,
    ) -> None:
        self.now = 100.0
        self.answers: dict[int, ErrorCode | None] = {}
        self.sent: list[SendMessage] = []
        self.order_messages: list[SendOrderMessage] = []
        self.numbers: dict[int, OrderNumbers] = {}  # the results of syncs
        self.stores: list[StoreRecords] = []
        recovered = [] if created else [encode_record(RecoveredRecord())]
        self.records = recovered if records is None else list(records)
        self._calls = 0
        self._sequences: dict[str, int] = {}
        settings = TallySettings(OWN, 7, created, bootstrap, 2, max_ids)
        self.replica = TallyReplica(settings, self.records, self.now)
        self.tick()

    def handle(self, event: Event) -> None:
        """Handle an event and record its effects."""
        for effect in self.replica.handle(self.now, event):
            match effect:
                case SendMessage():
                    self.sent.append(effect)
                case StoreRecords():
                    self.stores.append(effect)
                case CallCompleted(call_id, error):
                    self.answers[call_id] = error
                case SendOrderMessage():
                    self.order_messages.append(effect)
                case SyncCompleted(call_id, numbers):
                    self.answers[call_id] = None
                    self.numbers[call_id] = numbers

    def tick(self, seconds: float = 0.0) -> None:
        """Advance the clock by ticks."""
        end = self.now + seconds
        while self.now + 0.05 < end:
            self.now += 0.05
            self.handle(Tick(frozenset(PEERS)))
        self.now = end
        self.handle(Tick(frozenset(PEERS)))

    def stored(self, error: ErrorCode | None = None) -> None:
        """Complete the store in flight."""
        store = self.stores[-1]
        if error is None:
            self.records = list(store.records) if store.replace else [*self.records, *store.records]
        self.handle(StoreCompleted(store.token, error))

    def receive(self, sender: str, message: TallyMessage | OrderMessage) -> None:
        """Handle a message from a peer."""
        self.handle(MessageReceived(sender, message))

    def last_digest(self, address: str) -> TallyDigest:
        """The newest digest sent to a peer."""
        return [m.message for m in self.sent if m.address == address and isinstance(m.message, TallyDigest)][
            -1
        ]

    def last_order_request(self, address: str) -> OrderNumbersRequest:
        """The newest request for the numbers of orders sent to a peer."""
        found = [sent.message for sent in self.order_messages if sent.address == address]
        return [message for message in found if isinstance(message, OrderNumbersRequest)][-1]

    def digest(
        self,
        sender: str,
        vector: VersionVector,
        *,
        echoes: bool = True,
        writable: bool = True,
        recovered: bool = True,
        incarnation: int = 1,
    ) -> None:
        """Handle a digest from a peer, which echoes the newest digest sent to it, or none."""
        sequence = self._sequences[sender] = self._sequences.get(sender, 0) + 1
        echo = self.last_digest(sender).sequence if echoes else 0
        self.receive(
            sender, TallyDigest(f"f-{sender}", incarnation, sequence, 7, echo, writable, recovered, vector)
        )

    def in_contact(self, *addresses: str, vector: VersionVector | None = None) -> None:
        """Handle digests from these peers, so that the replica is in contact with them."""
        for address in addresses:
            self.digest(address, dict(vector or {}))

    def add(self, add_id: int, amount: int = 1, tally: str = "t") -> int:
        """Submit an add and return its call id."""
        self._calls += 1
        self.handle(AddSubmitted(self._calls, TallyAdd(tally, add_id, amount)))
        return self._calls

    def sent_to(self, address: str, kind: type) -> list[TallyMessage]:
        """Messages of one kind sent to a peer."""
        return [m.message for m in self.sent if m.address == address and isinstance(m.message, kind)]  # type: ignore[misc]
