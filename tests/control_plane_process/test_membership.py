"""Tests of the fleet membership with explicit times."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from reedspoke.common.messages import ControlMember, EdgeMember, WatchRequest
from reedspoke.control_plane.delivery.load_totals import WorkerLoads
from reedspoke.control_plane.delivery.membership import SESSION_TABLE_TTL_S, Membership
from reedspoke.control_plane.peers.messages import SessionEntry, SessionTable
from reedspoke.control_plane.replication.view import Member

OWN = ControlMember("10.0.0.1:1", "za")
EDGE_TTL_S = 3.0
INCARNATION = 77
NONE = (0, 0)


def watch(
    name: str, incarnation: str = "1", running: WorkerLoads | None = None, suspects: tuple[str, ...] = ()
) -> WatchRequest:
    """Build a watch of a data plane node."""
    return WatchRequest(1, name, incarnation, "zx", {}, running or {}, suspects=suspects)


def table(*entries: SessionEntry) -> SessionTable:
    """Build a session table without a sequence."""
    return SessionTable(entries, (1, 2), (3, 4))


def entry(
    name: str, idle_s: float = 0.0, running: WorkerLoads | None = None, incarnation: str = "1"
) -> SessionEntry:
    """Build an entry of a session table."""
    return SessionEntry(name, incarnation, "zx", idle_s, running or {})


def membership() -> Membership:
    """Build an empty membership."""
    return Membership(OWN, EDGE_TTL_S, INCARNATION)


def names(members: Membership) -> list[str]:
    """Return the names of the data plane nodes in the list of members."""
    return [edge.node_name for edge in members.members.edges]


def test_an_edge_is_a_member_while_it_watches() -> None:
    members = membership()
    assert members.update_edge(watch("e1"), 0.0)
    assert not members.update_edge(watch("e1"), 1.0)
    assert members.refresh(1.0)
    assert members.members.edges == (EdgeMember("e1", "1", "zx"),)
    assert not members.refresh(1.0 + EDGE_TTL_S)
    assert members.refresh(1.1 + EDGE_TTL_S)
    assert names(members) == []


def test_the_version_changes_only_with_the_list_and_has_the_incarnation() -> None:
    members = membership()
    members.update_edge(watch("e1", running={"i": (1, 2)}), 0.0)
    members.refresh(0.0)
    version = members.members.version
    members.update_edge(watch("e1", running={"i": (2, 2)}), 0.1)
    members.refresh(0.1)
    assert members.members.version == version
    assert version[0] == 77
    assert members.update_edge(watch("e1", "2"), 0.2)
    members.refresh(0.2)
    assert members.members.version != version


def test_removing_an_edge_does_not_remove_its_next_incarnation() -> None:
    members = membership()
    members.update_edge(watch("e1", "2"), 0.0)
    members.remove_edge("e1", "1")
    members.refresh(0.0)
    assert names(members) == ["e1"]
    members.remove_edge("e1", "2")
    members.refresh(0.0)
    assert names(members) == []


def test_edges_of_peers_count_until_their_table_expires() -> None:
    members = membership()
    members.update_edge(watch("e1"), 0.0)
    members.update_table("10.0.0.2:1", table(entry("e2")), 0.0)
    members.refresh(0.0)
    assert names(members) == ["e1", "e2"]
    assert members.workers_version_at("10.0.0.2:1") == (1, 2)
    members.update_edge(watch("e1"), SESSION_TABLE_TTL_S)
    members.refresh(SESSION_TABLE_TTL_S + 0.1)
    assert names(members) == ["e1"]
    assert members.workers_version_at("10.0.0.2:1") == NONE


def test_an_edge_with_two_sessions_counts_once_by_its_newest_entry() -> None:
    members = membership()
    members.update_edge(watch("e1", running={"i": (1, 10)}), 0.0)
    members.update_table("p", table(entry("e1", 0.2, {"i": (5, 50)})), 1.0)
    members.refresh(1.0)
    members.update_load(1.0)
    assert names(members) == ["e1"]
    assert members.load.running_except("other") == {"i": (5, 50)}
    members.update_edge(watch("e1", running={"i": (2, 20)}), 1.1)
    members.update_load(1.1)
    assert members.load.running_except("other") == {"i": (2, 20)}


def test_suspicions_are_counted_over_all_edges_except_the_receiver() -> None:
    members = membership()
    members.update_edge(watch("e1", suspects=("i", "j")), 0.0)
    members.update_edge(watch("e2", suspects=("i",)), 0.0)
    members.update_table("p", table(SessionEntry("e3", "1", "zx", 0.0, {}, ("i", "k"))), 0.0)
    members.update_load(0.0)
    assert members.load.suspects_except("e4") == {"i": 3, "j": 1, "k": 1}
    assert members.load.suspects_except("e1") == {"i": 2, "k": 1}
    members.update_edge(watch("e1"), 0.5)
    members.update_load(0.5)
    assert members.load.suspects_except("e4") == {"i": 2, "k": 1}


def test_suspicions_are_sent_to_peers() -> None:
    members = membership()
    members.update_edge(watch("e1", suspects=("i",)), 0.0)
    (sent_entry,) = members.next_table(0.0, NONE, NONE).entries
    assert sent_entry.suspects == ("i",)


def test_suspicions_expire_with_their_edge() -> None:
    members = membership()
    members.update_edge(watch("e1", suspects=("i",)), 0.0)
    members.refresh(EDGE_TTL_S + 0.1)
    members.update_load(EDGE_TTL_S + 0.1)
    assert members.load.suspects_except("e2") == {}


def test_a_new_incarnation_at_a_peer_replaces_the_old_one_here() -> None:
    members = membership()
    members.update_edge(watch("e1", "old"), 0.0)
    members.update_table("p", table(entry("e1", 0.1, incarnation="new")), 1.0)
    members.refresh(1.0)
    assert [edge.incarnation for edge in members.members.edges] == ["new"]


def test_control_members_are_the_live_members_of_the_view() -> None:
    members = membership()
    members.set_view((Member("f1", OWN.address, "za"), Member("f2", "p2", "zb"), Member("f3", "p3", "zc")))
    members.peer_seen("p2", 0.0)
    members.peer_seen("not-in-view", 0.0)
    members.refresh(0.0)
    assert list(members.members.control) == [OWN, ControlMember("p2", "zb")]
    members.refresh(SESSION_TABLE_TTL_S + 0.1)
    assert list(members.members.control) == [OWN]


RUNNING = st.dictionaries(
    st.sampled_from(("i1", "i2", "i3")), st.tuples(st.integers(0, 9), st.integers(0, 99)), max_size=3
)


@given(st.lists(RUNNING, max_size=4), st.lists(RUNNING, max_size=4))
def test_the_load_sent_to_an_edge_is_the_sum_of_all_others(
    own: list[WorkerLoads], remote: list[WorkerLoads]
) -> None:
    members = membership()
    for number, running in enumerate(own):
        members.update_edge(watch(f"h{number}", running=running), 0.0)
    entries = [entry(f"t{number}", running=running) for number, running in enumerate(remote)]
    members.update_table("p", table(*entries), 0.0)
    members.update_load(0.0)
    running_by_name = {f"h{number}": running for number, running in enumerate(own)}
    running_by_name |= {f"t{number}": running for number, running in enumerate(remote)}
    for receiver in running_by_name:
        expected: WorkerLoads = {}
        for name, running in running_by_name.items():
            if name != receiver:
                for instance, (requests, tokens) in running.items():
                    so_far = expected.get(instance, (0, 0))
                    expected[instance] = (so_far[0] + requests, so_far[1] + tokens)
        got = members.load.running_except(receiver)
        assert _without_zeros(got) == _without_zeros(expected)


def _without_zeros(running: WorkerLoads) -> WorkerLoads:
    return {instance: load for instance, load in running.items() if load != (0, 0)}


def test_the_own_table_has_the_idle_time_of_each_edge() -> None:
    members = membership()
    members.update_edge(watch("e1", running={"i": (1, 2)}), 1.0)
    sent_table = members.next_table(1.5, (1, 1), (2, 2))
    entries = (SessionEntry("e1", "1", "zx", 0.5, {"i": (1, 2)}),)
    assert sent_table == SessionTable(entries, (1, 1), (2, 2), INCARNATION, sequence=1)


def numbered(name: str, incarnation: int, sequence: int) -> SessionTable:
    """Return a session table with one entry and this `incarnation` and `sequence`."""
    return SessionTable((entry(name),), (1, 2), (3, 4), incarnation, sequence)


def refreshed_names(members: Membership) -> list[str]:
    """Refresh the list of members, and return the names of its data plane nodes."""
    members.refresh(0.0)
    return [edge.node_name for edge in members.members.edges]


def test_a_delayed_table_of_an_older_connection_does_not_replace_a_newer_one() -> None:
    members = membership()
    assert members.update_table("p", numbered("new", 7, 2), 0.0)
    assert not members.update_table("p", numbered("old", 7, 1), 0.0)
    assert not members.update_table("p", numbered("again", 7, 2), 0.0)
    assert refreshed_names(members) == ["new"]
    assert members.update_table("p", numbered("newer", 7, 3), 0.0)
    assert refreshed_names(members) == ["newer"]


def test_a_table_of_the_previous_incarnation_does_not_replace_the_current_one() -> None:
    members = membership()
    members.update_table("p", numbered("former", 7, 90), 0.0)
    assert members.update_table("p", numbered("present", 8, 1), 0.0)
    assert not members.update_table("p", numbered("former", 7, 91), 0.0)
    assert members.update_table("p", numbered("present", 8, 2), 0.0)
    assert refreshed_names(members) == ["present"]


def test_tables_without_a_sequence_replace_each_other() -> None:
    members = membership()
    for name in ("one", "two"):
        assert members.update_table("p", table(entry(name)), 0.0)
    assert refreshed_names(members) == ["two"]


def test_the_own_tables_have_rising_sequences() -> None:
    members = membership()
    first, second = (members.next_table(0.0, (1, 1), (2, 2)) for _ in range(2))
    assert (first.incarnation, second.incarnation) == (INCARNATION, INCARNATION)
    assert second.sequence == first.sequence + 1
