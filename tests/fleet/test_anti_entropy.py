"""Member entries: merging is a semilattice join, anti-entropy repairs losses, and convergence is detected."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.fleet import anti_entropy
from reedspoke.fleet.anti_entropy import (
    LEAF_MEMBERS,
    MAX_VERSION,
    MemberEntries,
    members_from_bits,
    members_to_bits,
)
from reedspoke.fleet.messages.anti_entropy import EntriesRequest, MemberEntry, RangeDigests, RootDigest
from reedspoke.fleet.messages.frame import Message, decode_frame, encode_frames
from reedspoke.fleet.messages.sizes import MAX_DATAGRAM_BYTES
from reedspoke.lab.virtual import SECOND, Play

ENTRY = st.builds(
    MemberEntry,
    st.integers(1, 5),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 1),
    st.integers(0, 2),
    st.lists(st.integers(0, 3), max_size=2).map(tuple),
)


def new_entries(member: int = 0, members: int = 6, start_time_s: int = 100) -> MemberEntries:
    return MemberEntries(member, members, start_time_s, 7, SECOND, 0)


def others(one: MemberEntries) -> dict[int, MemberEntry]:
    return {number: entry for number, entry in one.entries.items() if number != one.member}


@settings(max_examples=200, deadline=None)
@given(st.lists(ENTRY, max_size=12), st.randoms(use_true_random=False))
def test_merging_is_commutative_and_idempotent(received: list[MemberEntry], random: Random) -> None:
    first, second = new_entries(), new_entries()
    for entry in received:
        first.merge(entry, 0)
    duplicated = received + [entry for entry in received if random.random() < 0.5]
    random.shuffle(duplicated)
    for entry in duplicated:
        second.merge(entry, 0)
    assert others(first) == others(second)
    assert first.digest == second.digest
    for entry in received:
        assert anti_entropy.precedence(first.entries[entry.member]) >= anti_entropy.precedence(entry), (
            "the entry with the highest precedence is kept"
        )


@settings(max_examples=100, deadline=None)
@given(st.lists(ENTRY, max_size=10), st.lists(st.integers(1, 5)))
def test_the_digest_is_the_sum_of_the_hashes(received: list[MemberEntry], alive: list[int]) -> None:
    one = new_entries()
    for entry in received:
        one.merge(entry, 0)
        one.set_alive(alive, 0)
    total = sum(anti_entropy.entry_hash(entry, number in one.alive) for number, entry in one.entries.items())
    assert one.digest == total % anti_entropy.DIGEST_MODULUS


def test_an_entry_of_an_earlier_process_of_this_member_is_superseded() -> None:
    """Otherwise the entry of an earlier process whose clock was ahead would replace each new one."""
    one = new_entries(member=2, start_time_s=100)
    assert one.merge(MemberEntry(2, 500, 9, 7, 0, (4,)), 0)
    assert (one.own.start_time_s, one.own.version, one.own.held_roles) == (501, 0, ())
    assert not one.merge(MemberEntry(2, 500, 9, 7, 0, (4,)), 0)
    assert not one.merge(MemberEntry(6, 1, 1, 1), 0), "the member number is out of range"


def test_an_exhausted_version_increases_the_start_time() -> None:
    one = new_entries()
    one._put(MemberEntry(0, 100, MAX_VERSION, 7))
    one.update_own(1, [], [], 0)
    assert (one.own.start_time_s, one.own.version, one.own.phase) == (101, 0, 1)


def exchange(nodes: list[MemberEntries], seconds: range, loss: float = 0.0, seed: int = 1) -> int:
    """Exchanges root digests and the replies to them, as real frames, until all have converged.

    Returns the number of frames sent.
    """
    random, frames_sent = Random(seed), 0
    for second in seconds:
        now = second * SECOND
        queue: list[tuple[MemberEntries, MemberEntries, Message]] = []
        for sender, recipient in permutations(nodes, 2):
            if (root := sender.root_digest(recipient.member, now)) is not None:
                queue.append((sender, recipient, root))
        while queue:
            sender, recipient, message = queue.pop(0)
            (body,) = encode_frames(sender.member, 1, 1, [message])
            assert len(body) <= MAX_DATAGRAM_BYTES
            frames_sent += 1
            if random.random() >= loss:
                answers = recipient.receive(sender.member, decode_frame(body).messages, now)
                queue += [(recipient, sender, answer) for _, answer in answers]
        if all(node.convergence().converged for node in nodes):
            break
    return frames_sent


@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("lost", [0, 1, 7, 150])
def test_anti_entropy_transfers_entries_that_gossip_lost(lost: int, loss: float) -> None:
    size = 200
    one, other = new_entries(0, size), new_entries(1, size)
    for number in range(2, size):
        one.merge(MemberEntry(number, 5, 1, 0), 0)
        if number >= 2 + lost:
            other.merge(MemberEntry(number, 5, 1, 0), 0)
    for each in (one, other):
        each.set_alive([0, 1], 0)
    frames_sent = exchange([one, other], range(60), loss)
    assert one.convergence().converged
    assert other.convergence().converged
    assert one.digest == other.digest
    assert others(one).keys() - {1} == others(other).keys() - {0}
    if not loss:
        assert frames_sent < 60 + 10 * lost, "only the parts that differ are sent"


def test_convergence_reports_the_members_behind_and_the_time_of_change() -> None:
    one, other = new_entries(0, 3), new_entries(1, 3)
    for each in (one, other):
        each.set_alive([0, 1, 2], 0)
    assert one.convergence().behind == (1, 2)
    exchange([one, other], range(10))
    assert (one.convergence().converged, one.convergence().behind) == (False, (2,))
    for each in (one, other):
        each.set_alive([0, 1], 30 * SECOND)
    exchange([one, other], range(30, 40))
    assert one.convergence().converged
    assert 30 * SECOND <= one.convergence().since <= 33 * SECOND
    one.update_own(1, [4], [], 50 * SECOND)
    assert not one.convergence().converged, "the new version has not been sent yet"


@pytest.mark.parametrize(
    "message",
    [
        RangeDigests(0, 6, b"short"),
        RangeDigests(5, 2, b""),
        RangeDigests(0, 60000, b"x" * 128),
        EntriesRequest(0, 65535),
        RootDigest(3, b"\xff" * 128),
        MemberEntry(65535, 1, 1, 1),
    ],
    ids=repr,
)
def test_an_invalid_message_changes_nothing(message: Message) -> None:
    one = new_entries()
    before = one.digest
    answers = one.receive(3, [message], 0)
    assert one.digest == before
    assert len(answers) <= LEAF_MEMBERS + 1
    assert one._agreeing <= {0, *range(6)}


def test_a_set_of_members_is_encoded_as_bits() -> None:
    assert members_from_bits(members_to_bits({0, 9, 63})) == {0, 9, 63}
    assert members_to_bits([]) == b""
    assert len(members_to_bits({199})) == 25


def assert_converged(play: Play) -> None:
    convergences = [process.view.convergence() for process in play.processes.values()]
    assert all(convergence.converged for convergence in convergences)
    assert len({convergence.digest for convergence in convergences}) == 1


@pytest.mark.parametrize("size", [2, 5, 30])
def test_a_fleet_converges_and_reports_it(size: int) -> None:
    play = Play(size, 3)
    play.run(20 * SECOND)
    assert_converged(play)
    play.kill(max(play.processes))
    play.run(25 * SECOND)
    assert_converged(play)


def test_the_digest_covers_the_member_states(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the states, two members that disagree on who is alive would both report convergence.

    The second half shows this with a mutated hash that ignores the states.
    """
    one, other = new_entries(0, 3), new_entries(1, 3)
    for each in (one, other):
        each.merge(MemberEntry(2, 1, 1, 1), 0)
    one.merge(other.own, 0)
    other.merge(one.own, 0)
    one.set_alive([0, 1, 2], 0)
    other.set_alive([0, 1], 0)
    assert one.digest != other.digest
    monkeypatch.setattr(anti_entropy, "entry_hash", lambda entry, alive: hash((entry.member, entry.version)))
    without_states = [new_entries(0, 3), new_entries(1, 3)]
    for each in without_states:
        for entry in one.entries.values():
            each.merge(entry, 0)
    without_states[0].set_alive([0, 1, 2], 0)
    without_states[1].set_alive([0, 1], 0)
    assert without_states[0].digest == without_states[1].digest


def test_a_member_that_sends_only_to_all_peers_receives_the_digest() -> None:
    """A member that sends frames to all peers, such as load reports, is not pinged.

    Without a digest that is sent regularly, a real fleet of five never converged for this reason.
    """
    nodes = [new_entries(member, 3) for member in range(3)]
    for one in nodes:
        one.set_alive([0, 1, 2], 0)
    for second in range(1, 12):
        now = second * SECOND
        queue = [(one, nodes[to], message) for one in nodes for to, message in one.push_digest(now)]
        while queue:
            sender, recipient, message = queue.pop(0)
            answers = recipient.receive(sender.member, [message], now)
            queue += [(recipient, nodes[to], answer) for to, answer in answers]
    assert all(one.convergence().converged for one in nodes)
    assert all(one.push_digest(20 * SECOND) == [] for one in nodes), "no digest is sent after convergence"
