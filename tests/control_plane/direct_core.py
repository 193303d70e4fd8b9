"""Replicas that are driven directly, without delays or losses; virtual time passes only in `run`.

Thousands of changes take a few seconds. For faults there is `Simulation`.
"""

from __future__ import annotations

from collections import deque

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import PutCompleted, SendMessage, StoreRecords
from reedspoke.control_plane.replication.events import (
    Event,
    MessageReceived,
    PutSubmitted,
    StoreCompleted,
    Tick,
)
from reedspoke.control_plane.replication.replica import TICK_INTERVAL_S, Replica, ReplicaSettings

START_S = 3.0


class DirectCore:
    """A core of machines `m1`, `m2`, …, whose messages and stores are carried out at once, in order."""

    def __init__(self, machines: int = 3, tolerated: int = 1) -> None:
        self.now = 100.0
        self.addresses = tuple(f"m{number}" for number in range(1, machines + 1))
        self.disks: dict[str, list[bytes]] = {}
        self.replicas: dict[str, Replica] = {}
        self.stored: list[tuple[str, bytes]] = []
        self.sent: list[SendMessage] = []
        self._tolerated = tolerated
        self._folders: dict[str, str] = {}
        self._incarnations = 0
        self._events: deque[tuple[str, Event]] = deque()
        self._answers: dict[int, PutCompleted] = {}
        self._requests = 0
        for address in self.addresses:
            self.lose_disk(address)
        self.restart(bootstrap=True)

    def lose_disk(self, address: str) -> None:
        """Empty the folder; the process has to be started again."""
        self._incarnations += 1
        self._folders[address] = f"folder-{self._incarnations}"
        self.disks[address] = []

    def restart(self, bootstrap: bool = False) -> None:
        """Restart all processes from their disks."""
        self._events.clear()
        for address in self.addresses:
            self.start(address, bootstrap)
        self.run(START_S)

    def start(self, address: str, bootstrap: bool = False) -> None:
        """Start one process from its disk."""
        self._incarnations += 1
        settings = ReplicaSettings(
            folder_id=self._folders[address],
            address=address,
            zone=f"zone-{address}",
            seeds=self.addresses,
            bootstrap=bootstrap,
            machines_tolerated=self._tolerated,
        )
        records = list(self.disks[address])
        self.replicas[address] = Replica(settings, records, self.now, f"incarnation-{self._incarnations}")

    def run(self, duration: float) -> None:
        """Let time pass."""
        for _ in range(round(duration / TICK_INTERVAL_S)):
            self.now += TICK_INTERVAL_S
            for address in self.addresses:
                self._events.append((address, Tick()))
            self._handle_all()

    def put(self, address: str, match: int, generation: int, document: bytes) -> ErrorCode | None:
        """Submit a change, let time pass until it is answered, and return the error."""
        self._requests += 1
        request_id = self._requests
        self.inject(address, PutSubmitted(request_id, match, generation, document))
        while request_id not in self._answers:
            self.run(TICK_INTERVAL_S)
        return self._answers.pop(request_id).error

    def inject(self, address: str, event: Event) -> None:
        """Pass an event to a machine, and carry out all resulting effects."""
        self._events.append((address, event))
        self._handle_all()

    def head(self) -> str:
        """Address of the head."""
        views = [replica.view for replica in self.replicas.values() if replica.view is not None]
        return max(views, key=lambda view: view.number).chain[0].member.address

    def _handle_all(self) -> None:
        while self._events:
            address, event = self._events.popleft()
            for effect in self.replicas[address].handle(self.now, event):
                match effect:
                    case SendMessage(address=receiver, message=message):
                        self.sent.append(effect)
                        if receiver in self.replicas:
                            self._events.append((receiver, MessageReceived(address, message)))
                    case StoreRecords():
                        self._store(address, effect)
                    case PutCompleted(request_id=request_id):
                        self._answers[request_id] = effect

    def _store(self, address: str, store: StoreRecords) -> None:
        disk = self.disks[address]
        if store.replace:
            disk.clear()
        disk.extend(store.records)
        self.stored.extend((address, record) for record in store.records)
        self._events.append((address, StoreCompleted(store.token)))
