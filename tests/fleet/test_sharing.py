"""What schedulers tell each other of the jobs they hold: words, losses, restarts; clock and network ours."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.sharing import FORGET, QUIET, REFRESH, Picture, Sharing
from reedspoke.fleet.words import MOST, PARTS, STEP, Held, Word, WordsError, decode, encode, mark, newer

MS = 1000
HOSTS = [f"s-{number:08x}" for number in range(20)]


def test_a_word_is_read_as_it_was_written() -> None:
    word = Word(199, 54321, 65535, (Held(7, 3, 40 * STEP), Held(65535, 0, 0.0)))
    assert decode(encode(word)) == word


def test_the_largest_word_fits_a_datagram() -> None:
    """Guards the run: a longer datagram voids it."""
    assert len(encode(Word(1, 2, 3, tuple(Held(at, 255, 1e12) for at in range(PARTS))))) <= MOST
    with pytest.raises(ValueError, match="workers in one message"):
        encode(Word(1, 2, 3, tuple(Held(at, 1, 0.0) for at in range(PARTS + 1))))


@pytest.mark.parametrize(
    "body",
    [b"", b"\x00\xff", b"hello there", b"~" * 300, encode(Word(1, 2, 3, (Held(1, 1, 1.0),)))[:-2], b"0" * 20],
    ids=["empty", "bytes", "text", "long", "cut", "version"],
)
def test_what_is_no_word_changes_nothing(body: bytes | str) -> None:
    sharing = Sharing(0, 4, 1)
    assert not sharing.hear(0, body)
    assert sharing.malformed == 1
    with pytest.raises(WordsError):
        decode(body)


def test_noise_is_never_fatal() -> None:
    sharing, rng = Sharing(0, 4, 1), Random(5)
    good = encode(Word(2, 9, 1, tuple(Held(mark(host), 2, 1e6) for host in HOSTS)))
    for _ in range(3000):
        data = bytearray(good.encode())
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        sharing.hear(0, bytes(data[: rng.randrange(len(data))] if rng.random() < 0.3 else data))
    for slots, work in sharing.others(HOSTS).values():
        assert 0 < slots <= 255 * 4
        assert work >= 0


@pytest.mark.parametrize(
    ("sequence", "than", "is_newer"), [(1, 0, True), (0, 65535, True), (5, 5, False), (4, 5, False)]
)
def test_sequences_go_round(sequence: int, than: int, is_newer: bool) -> None:
    assert newer(sequence, than) is is_newer


def pair() -> tuple[Sharing, Sharing]:
    return Sharing(0, 3, 11), Sharing(1, 3, 12)


def tell(speaker: Sharing, listener: Sharing, now: int, held: Picture) -> list[str]:
    bodies = speaker.say(now, held)
    for body in bodies:
        listener.hear(now, body)
    return bodies


def test_a_change_is_told_at_once_and_nothing_else() -> None:
    one, two = pair()
    assert len(tell(one, two, 0, {"a": (1, 500_000.0)})) == 1
    assert two.others(["a", "b"]) == {"a": (1, 500_000.0)}
    assert tell(one, two, 5 * MS, {"a": (1, 500_000.0)}) == []
    tell(one, two, 9 * MS, {"b": (2, 100_000.0)})
    assert two.others(["a", "b"]) == {"b": (2, 100_000.0)}
    tell(one, two, 10 * MS, {})
    assert two.others(["a", "b"]) == {}


def test_what_is_lost_is_made_good_within_a_refresh() -> None:
    one, two = pair()
    one.say(0, {"a": (1, 0.0)})  # lost
    assert two.others(["a"]) == {}
    tell(one, two, REFRESH, {"a": (1, 0.0)})
    assert two.others(["a"]) == {"a": (1, 0.0)}
    one.say(REFRESH + 1, {})  # the end is lost: nothing tells it again
    two.forget(REFRESH + FORGET)
    assert two.others(["a"]) == {}, "it is forgotten in time"


def test_words_out_of_order_do_not_bring_back_what_has_ended() -> None:
    one, two = pair()
    first, second = one.say(0, {"a": (1, 0.0)}), one.say(5 * MS, {})
    assert two.hear(9 * MS, second[0])
    two.hear(10 * MS, first[0])
    assert two.others(["a"]) == {}
    assert two.stale == 1


def test_a_peer_that_starts_anew_holds_nothing() -> None:
    """Guards the workers that a killed scheduler used; its last words may come behind its successor's."""
    one, two = pair()
    tell(one, two, 0, {"a": (2, 0.0)})
    late = one.say(MS, {"a": (2, 0.0), "b": (1, 0.0)})
    anew = Sharing(0, 3, 99)
    tell(anew, two, 5 * MS, {"b": (1, 0.0)})
    two.hear(6 * MS, late[0])
    assert two.others(["a", "b"]) == {"b": (1, 0.0)}


@pytest.mark.parametrize("sender", [1, 3, 700])
def test_strangers_and_one_s_own_words_are_passed_over(sender: int) -> None:
    sharing = Sharing(1, 3, 5)
    assert not sharing.hear(0, encode(Word(sender, 1, 1, (Held(mark("a"), 1, 0.0),))))
    assert sharing.strangers == 1


def test_a_silent_peer_is_forgotten_whole() -> None:
    one, two = pair()
    tell(one, two, 0, {"a": (1, 0.0)})
    two.forget(QUIET)
    assert not two._peers


@pytest.mark.parametrize("loss", [0.0, 0.2, 0.5])
def test_pictures_agree_again_whatever_is_lost_or_late(loss: float) -> None:
    """Six schedulers over a network that loses, delays by up to 29 ms, and so reorders and doubles."""
    rng = Random(17)
    fleet = [Sharing(number, 6, number + 1) for number in range(6)]
    held: list[Picture] = [{} for _ in fleet]
    flying: list[tuple[int, int, str]] = []
    tries = sent = now = 0
    while now < 20_000 * MS:
        now += 5 * MS
        for number, one in enumerate(fleet):
            if now < 15_000 * MS and rng.random() < 0.05:
                tries += 1
                host = rng.choice(HOSTS)
                held[number][host] = (rng.randrange(1, 3), rng.randrange(1, 50) * float(STEP))
            if held[number] and rng.random() < 0.05:
                del held[number][rng.choice(sorted(held[number]))]
            for body in one.say(now, held[number]):
                assert len(body) <= MOST
                for to in range(6):
                    sent += len(body) if to != number else 0
                    for _ in range(1 + (rng.random() < 0.05)):
                        if to != number and rng.random() >= loss:
                            flying.append((now + rng.randrange(1, 29) * MS, to, body))
            one.forget(now)
        for item in [item for item in flying if item[0] <= now]:
            flying.remove(item)
            fleet[item[1]].hear(item[0], item[2])
    for number, one in enumerate(fleet):
        truth: Picture = {}
        for other, picture in enumerate(held):
            for host, (slots, work) in picture.items() if other != number else ():
                before = truth.get(host, (0, 0.0))
                truth[host] = before[0] + slots, before[1] + work
        assert one.others(HOSTS) == truth
    assert sent / tries < 256, "bytes for each job, over all receivers: a quarter of a full price at most"
