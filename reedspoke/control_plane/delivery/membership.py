"""Who is in the fleet: sessions of data plane schedulers here and at the other control schedulers.

No input or output and no clock here: `now` is seconds of a clock that goes on while the process is stopped.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

from reedspoke.common.messages import (
    NO_VERSION,
    ControlMember,
    EdgeMember,
    MemberList,
    Version,
    WatchRequest,
)
from reedspoke.control_plane.peers.messages import SessionEntry, SessionTable
from reedspoke.control_plane.replication.view import Member

TABLE_LIFE_S = 2.0  # what another control scheduler told holds for so long
MOST_EDGES = 1024
MOST_TABLES = 64

Running = dict[str, tuple[int, int]]


class Edge(Struct):
    """A data plane scheduler that has a session here."""

    node_name: str
    incarnation: str
    zone: str
    heard_at: float
    running: Running
    suspects: tuple[str, ...]

    def entry(self, now: float) -> SessionEntry:
        """What other control schedulers are told of it."""
        silent_s = now - self.heard_at
        return SessionEntry(
            self.node_name, self.incarnation, self.zone, silent_s, self.running, self.suspects
        )


class PeerTable(Struct):
    """What another control scheduler told last; `former_life`: that of its process before."""

    table: SessionTable
    heard_at: float
    former_life: int | None = None

    def is_followed_by(self, table: SessionTable) -> bool:
        """Whether a table that has come is newer than this one, and not a late one of another connection.
        Processes of older versions number none."""
        if not table.number:
            return True
        if table.life == self.table.life:
            return table.number > self.table.number
        return table.life != self.former_life


class Membership:
    """The union of all sessions, with a version that changes whenever the lists of members do.

    `identity` tells this process's versions from those of others and of its former lives.
    """

    def __init__(self, own: ControlMember, edge_life_s: float, identity: int) -> None:
        self._own = own
        self._edge_life_s = edge_life_s
        self._identity = identity
        self._count = 0
        self._tables_told = 0
        self._edges: dict[str, Edge] = {}
        self._tables: dict[str, PeerTable] = {}
        self._heard: dict[str, float] = {}
        self._view: tuple[Member, ...] = ()
        self._members = MemberList((identity, 0), (own,), ())
        self._running: Running = {}
        self._running_of: dict[str, Running] = {}
        self._suspects: Counter[str] = Counter()
        self._suspects_of: dict[str, tuple[str, ...]] = {}

    # ---- what is asked ----

    @property
    def members(self) -> MemberList:
        """The newest list."""
        return self._members

    def running_except(self, node_name: str) -> Running:
        """Requests and prompt tokens at each worker, of all data plane schedulers but this one."""
        own = self._running_of.get(node_name)
        if not own:
            return self._running
        others = dict(self._running)
        for instance, (requests, tokens) in own.items():
            all_requests, all_tokens = others[instance]
            if all_requests > requests or all_tokens > tokens:
                others[instance] = (all_requests - requests, all_tokens - tokens)
            else:
                del others[instance]
        return others

    def suspects_except(self, node_name: str) -> dict[str, int]:
        """How many data plane schedulers, without this one, suspect each worker."""
        own = self._suspects_of.get(node_name)
        return dict(self._suspects - Counter(own) if own else self._suspects)

    def table(self, now: float, workers: Version, workers_seen: Version) -> SessionTable:
        """What the other control schedulers are told."""
        entries = tuple(edge.entry(now) for edge in self._edges.values())
        self._tables_told += 1
        return SessionTable(entries, workers, workers_seen, self._identity, self._tables_told)

    def peer_workers(self, address: str) -> Version:
        """The version of the list of workers that another control scheduler said it has."""
        told = self._tables.get(address)
        return NO_VERSION if told is None else told.table.workers

    def known_control(self) -> tuple[ControlMember, ...]:
        """The other control schedulers of the newest view known here, and those heard of late beside them."""
        known = {member.address: member.zone for member in self._view}
        known |= {member.address: member.zone for member in self._members.control}
        known.pop(self._own.address, None)
        return tuple(ControlMember(address, zone) for address, zone in sorted(known.items()))

    def peers_heard(self, now: float) -> tuple[str, ...]:
        """Addresses of the control schedulers that were heard of late."""
        return tuple(address for address, at in self._heard.items() if now - at <= TABLE_LIFE_S)

    # ---- what happens ----

    def watched(self, watch: WatchRequest, now: float) -> bool:
        """Word of a data plane scheduler. True where it is a new one or a new life of one."""
        known = self._edges.get(watch.node_name)
        if known is None and len(self._edges) >= MOST_EDGES:
            return False
        self._edges[watch.node_name] = Edge(
            watch.node_name, watch.incarnation, watch.zone, now, dict(watch.running), watch.suspects
        )
        return known is None or known.incarnation != watch.incarnation

    def left(self, node_name: str, incarnation: str) -> None:
        """A data plane scheduler that was about to end has closed its session."""
        known = self._edges.get(node_name)
        if known is not None and known.incarnation == incarnation:
            del self._edges[node_name]

    def heard_peer(self, address: str, now: float) -> None:
        """Any message of another control scheduler."""
        if address in self._heard or len(self._heard) < MOST_TABLES:
            self._heard[address] = now

    def heard_table(self, address: str, table: SessionTable, now: float) -> bool:
        """The sessions of another control scheduler. False where a newer table has come before."""
        known = self._tables.get(address)
        if known is None:
            if len(self._tables) < MOST_TABLES:
                self._tables[address] = PeerTable(table, now)
            return True
        if not known.is_followed_by(table):
            return False
        former = known.former_life if table.life == known.table.life else known.table.life
        self._tables[address] = PeerTable(table, now, former)
        return True

    def set_view(self, members: tuple[Member, ...]) -> None:
        """The control schedulers of the newest view."""
        self._view = members

    def refresh(self, now: float) -> bool:
        """Forget what is too old. True where the list of members has changed."""
        self._forget(now)
        newest = self._newest_entries(now)
        control = self._control(now)
        edges = tuple(
            EdgeMember(entry.node_name, entry.incarnation, entry.zone) for _, entry in sorted(newest.items())
        )
        if (control, edges) == (self._members.control, self._members.edges):
            return False
        self._count += 1
        self._members = MemberList((self._identity, self._count), control, edges)
        return True

    def add_up(self, now: float) -> None:
        """Add up anew what runs at each worker, and by how many it is suspected."""
        total: Running = {}
        newest = self._newest_entries(now)
        for entry in newest.values():
            for instance, (requests, tokens) in entry.running.items():
                all_requests, all_tokens = total.get(instance, (0, 0))
                total[instance] = (all_requests + requests, all_tokens + tokens)
        self._running = total
        self._running_of = {name: entry.running for name, entry in newest.items()}
        self._suspects = Counter(worker for entry in newest.values() for worker in entry.suspects)
        self._suspects_of = {name: entry.suspects for name, entry in newest.items() if entry.suspects}

    # ---- inside ----

    def _forget(self, now: float) -> None:
        for name, edge in list(self._edges.items()):
            if now - edge.heard_at > self._edge_life_s:
                del self._edges[name]
        for address, told in list(self._tables.items()):
            if now - told.heard_at > TABLE_LIFE_S:
                del self._tables[address]
        for address, heard_at in list(self._heard.items()):
            if now - heard_at > TABLE_LIFE_S:
                del self._heard[address]

    def _newest_entries(self, now: float) -> dict[str, SessionEntry]:
        """The latest word of each data plane scheduler, which may have sessions with several of us."""
        newest = {edge.node_name: edge.entry(now) for edge in self._edges.values()}
        silent = {name: entry.silent_s for name, entry in newest.items()}
        for told in self._tables.values():
            age = now - told.heard_at
            for entry in told.table.entries:
                silent_s = entry.silent_s + age
                if silent_s <= self._edge_life_s + TABLE_LIFE_S and silent_s < silent.get(
                    entry.node_name, float("inf")
                ):
                    newest[entry.node_name] = entry
                    silent[entry.node_name] = silent_s
        return newest

    def _control(self, now: float) -> tuple[ControlMember, ...]:
        heard = set(self.peers_heard(now))
        others = {
            member.address: member.zone
            for member in self._view
            if member.address in heard and member.address != self._own.address
        }
        members = [ControlMember(address, zone) for address, zone in others.items()]
        return tuple(sorted([self._own, *members], key=lambda member: member.address))
