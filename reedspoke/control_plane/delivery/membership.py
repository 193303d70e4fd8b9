"""Fleet membership, from the sessions of data plane nodes at this and the other control plane nodes.

Each control plane node sends its sessions to all others in a `SessionTable`. The membership is the union of
this node's sessions and the newest table of each peer. Data plane nodes and peers that send no messages
expire. This module does no I/O and reads no clock: `now` is in seconds of a clock that advances while the
process is suspended.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.messages import (
    NO_VERSION,
    ControlMember,
    EdgeMember,
    MemberList,
    Version,
    WatchRequest,
)
from reedspoke.control_plane.delivery.load_totals import LoadTotals, WorkerLoads
from reedspoke.control_plane.peers.messages import SessionEntry, SessionTable
from reedspoke.control_plane.replication.view import Member

SESSION_TABLE_TTL_S = 2.0  # the time after which a peer's newest table expires
MAX_EDGES = 1024
MAX_PEERS = 64


class Edge(Struct):
    """A data plane node that has a session here, as of its last message."""

    node_name: str
    incarnation: str
    zone: str
    received_at: float
    running: WorkerLoads
    suspects: tuple[str, ...]

    def entry(self, now: float) -> SessionEntry:
        """Return the node's entry in the table for the other control plane nodes."""
        idle_s = now - self.received_at
        return SessionEntry(self.node_name, self.incarnation, self.zone, idle_s, self.running, self.suspects)


class PeerTable(Struct):
    """The newest table of a peer. `previous_incarnation` belongs to the peer's previous process."""

    table: SessionTable
    received_at: float
    previous_incarnation: int | None = None

    def is_followed_by(self, table: SessionTable) -> bool:
        """Return whether a received table is newer than this one, and not delayed on another connection.

        Processes of older versions send no sequence. Their tables replace each other in order of arrival.
        """
        if not table.sequence:
            return True
        if table.incarnation == self.table.incarnation:
            return table.sequence > self.table.sequence
        return table.incarnation != self.previous_incarnation


class Membership:
    """Owns the sessions, the tables of peers and the versioned list of members.

    `incarnation` is a random number that distinguishes the versions and tables of this process from those of
    other processes and of earlier processes at the same address. `load` has the sums over all data plane
    nodes as of the last `update_load`.
    """

    def __init__(self, own: ControlMember, edge_ttl_s: float, incarnation: int) -> None:
        self.load = LoadTotals()
        self._own = own
        self._edge_ttl_s = edge_ttl_s
        self._incarnation = incarnation
        self._list_count = 0
        self._tables_sent = 0
        self._edges: dict[str, Edge] = {}
        self._tables: dict[str, PeerTable] = {}
        self._peer_seen_at: dict[str, float] = {}
        self._view: tuple[Member, ...] = ()
        self._members = MemberList((incarnation, 0), (own,), ())

    # ---- queries ----

    @property
    def members(self) -> MemberList:
        """The list of members as of the last `refresh`."""
        return self._members

    def next_table(self, now: float, workers: Version, workers_seen: Version) -> SessionTable:
        """Return the next table for the other control plane nodes, and advance the sequence."""
        entries = tuple(edge.entry(now) for edge in self._edges.values())
        self._tables_sent += 1
        return SessionTable(entries, workers, workers_seen, self._incarnation, self._tables_sent)

    def workers_version_at(self, address: str) -> Version:
        """Return the version of the worker list in a peer's newest table."""
        received = self._tables.get(address)
        return NO_VERSION if received is None else received.table.workers

    def known_peers(self) -> tuple[ControlMember, ...]:
        """Return the other control plane nodes of the newest known view and of the list of members."""
        zone_of = {member.address: member.zone for member in self._view}
        zone_of |= {member.address: member.zone for member in self._members.control}
        zone_of.pop(self._own.address, None)
        return tuple(ControlMember(address, zone) for address, zone in sorted(zone_of.items()))

    def live_peers(self, now: float) -> tuple[str, ...]:
        """Return the addresses of control plane nodes whose last message is not too old."""
        return tuple(address for address, at in self._peer_seen_at.items() if now - at <= SESSION_TABLE_TTL_S)

    # ---- updates ----

    def update_edge(self, watch: WatchRequest, now: float) -> bool:
        """Record a data plane node's message. Returns True for a new node or a new incarnation of a node."""
        known = self._edges.get(watch.node_name)
        if known is None and len(self._edges) >= MAX_EDGES:
            return False
        self._edges[watch.node_name] = Edge(
            watch.node_name, watch.incarnation, watch.zone, now, dict(watch.running), watch.suspects
        )
        return known is None or known.incarnation != watch.incarnation

    def remove_edge(self, node_name: str, incarnation: str) -> None:
        """Remove a data plane node that closed its session while draining."""
        known = self._edges.get(node_name)
        if known is not None and known.incarnation == incarnation:
            del self._edges[node_name]

    def peer_seen(self, address: str, now: float) -> None:
        """Record that a message of a control plane node has arrived."""
        if address in self._peer_seen_at or len(self._peer_seen_at) < MAX_PEERS:
            self._peer_seen_at[address] = now

    def update_table(self, address: str, table: SessionTable, now: float) -> bool:
        """Record the table of a peer. Returns False if a newer one arrived before."""
        known = self._tables.get(address)
        if known is None:
            if len(self._tables) < MAX_PEERS:
                self._tables[address] = PeerTable(table, now)
            return True
        if not known.is_followed_by(table):
            return False
        same_process = table.incarnation == known.table.incarnation
        previous = known.previous_incarnation if same_process else known.table.incarnation
        self._tables[address] = PeerTable(table, now, previous)
        return True

    def set_view(self, members: tuple[Member, ...]) -> None:
        """Set the control plane nodes of the newest view."""
        self._view = members

    def refresh(self, now: float) -> bool:
        """Remove expired entries and rebuild the list of members. Returns True if the list has changed."""
        self._expire(now)
        control = self._control_members(now)
        edges = tuple(
            EdgeMember(entry.node_name, entry.incarnation, entry.zone)
            for _, entry in sorted(self._newest_entries(now).items())
        )
        if (control, edges) == (self._members.control, self._members.edges):
            return False
        self._list_count += 1
        self._members = MemberList((self._incarnation, self._list_count), control, edges)
        return True

    def update_load(self, now: float) -> None:
        """Recompute the sums of `load`."""
        self.load.update(self._newest_entries(now))

    # ---- internal ----

    def _expire(self, now: float) -> None:
        for name, edge in list(self._edges.items()):
            if now - edge.received_at > self._edge_ttl_s:
                del self._edges[name]
        for address, received in list(self._tables.items()):
            if now - received.received_at > SESSION_TABLE_TTL_S:
                del self._tables[address]
        for address, seen_at in list(self._peer_seen_at.items()):
            if now - seen_at > SESSION_TABLE_TTL_S:
                del self._peer_seen_at[address]

    def _newest_entries(self, now: float) -> dict[str, SessionEntry]:
        """Return the newest entry of each data plane node by name.

        A data plane node may have sessions with several control plane nodes.
        """
        newest = {edge.node_name: edge.entry(now) for edge in self._edges.values()}
        idle = {name: entry.idle_s for name, entry in newest.items()}
        for received in self._tables.values():
            table_age_s = now - received.received_at
            for entry in received.table.entries:
                idle_s = entry.idle_s + table_age_s
                expired = idle_s > self._edge_ttl_s + SESSION_TABLE_TTL_S
                if not expired and idle_s < idle.get(entry.node_name, float("inf")):
                    newest[entry.node_name] = entry
                    idle[entry.node_name] = idle_s
        return newest

    def _control_members(self, now: float) -> tuple[ControlMember, ...]:
        live = set(self.live_peers(now))
        zone_of = {
            member.address: member.zone
            for member in self._view
            if member.address in live and member.address != self._own.address
        }
        peers = [ControlMember(address, zone) for address, zone in zone_of.items()]
        return tuple(sorted([self._own, *peers], key=lambda member: member.address))
