"""A numbered record that a majority of the granters keeps without disk: agreement, not belief. A pure core.

In the manner of Viewstamped Replication (Oki, Liskov, 1988; Liskov, Cowling, 2012) with the log's rules as in
Raft (Ongaro, Ousterhout, 2014). Who leads is decided elsewhere: the holder of a duty, by its token
(`lease.py`). What is agreed is safe whatever holders believe, also with two at once: a granter heeds no token
below the highest it has heard, and

- a holder serves once it has read a majority (`Read`): of what these tell it takes the log whose last entry
has the   highest token, then the highest number, and puts an entry of its own behind that;
- an entry is agreed on once a majority has it, and an entry of the holder's own token behind it or as itself;
- a granter that starts anew remembers nothing and is *blank*: it votes for nothing and confirms nothing until
a   majority of the others has told it the highest token they heed, the holder of that one among them, and it
has all   that this holder had then. What it had confirmed in its former life is in there.

Where all granters answer and too few of them remember, what was agreed may be lost. Then the record goes on
with the best that is left, or anew, and says so (`torn`): nothing is pretended. Where one does not answer, it
rests.

What is agreed goes to a `Machine` in order, at every granter. The past is folded into what the machine keeps;
who is far behind gets that in pieces. Time is an argument, us. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol
from zlib import crc32

from reedspoke.fleet.log_messages import (
    Append,
    Confirm,
    Fetch,
    Fold,
    Found,
    Lacking,
    Read,
    Recover,
    Recovered,
    Remember,
    Word,
)

KEEP = 64  # entries kept behind what is folded: who lacks few gets them one by one
AHEAD = 4  # entries that are on their way to one granter at once
PIECE = 120  # bytes of what is folded in one message
MOST_ENTRY = 150  # bytes


class Machine(Protocol):
    """What the record is for. `apply` must do the same everywhere: no clock, no lot."""

    def apply(self, number: int, data: bytes) -> None: ...

    def folded(self) -> bytes: ...

    def unfold(self, data: bytes) -> None: ...


class Kind(Enum):
    """Of a change that has to be kept before anything that follows from it is told."""

    PROMISE = "promise"  # number: the token
    APPEND = "append"  # number: the entry's token; data
    CUT = "cut"  # number: entries behind that one are gone
    WHOLE = "whole"  # all of it anew


@dataclass(slots=True, frozen=True)
class Change:
    kind: Kind
    number: int = 0
    data: bytes = b""


Out = list[tuple[int, Word]]


@dataclass(slots=True)
class Peer:
    """A granter as its holder sees it."""

    matched: int = 0  # up to there it has what we have, by its own word
    have: int = -1  # what it said last that it has, where it lacked something
    ahead: int = 0  # up to there it was sent
    asked_at: int = 0
    life: int = -1
    folding: int = 0  # byte of the folded past that it is to get next


@dataclass(slots=True)
class Lead:
    """A holder's part. `best`: whose log it takes, itself where that is -1."""

    token: int
    answers: dict[int, Remember] = field(default_factory=dict)
    serving: bool = False
    best: int = -1
    wanted: int = 0  # of the best log: the entry that is wanted next, and the last one asked for
    upto: int = 0
    asked_at: int = 0
    peers: dict[int, Peer] = field(default_factory=dict)
    found: dict[int, int] = field(
        default_factory=dict
    )  # lives of those that remember nothing, and may go on so


class Record:
    """One granter's, and its holder's where this is it. `life` differs with each start. `log`: lines for the
    log; `torn`: how often the record has gone on though a majority had forgotten it."""

    def __init__(self, me: int, granters: tuple[int, ...], life: int, machine: Machine, pace: int) -> None:
        self.me, self.granters, self.life, self.machine, self.pace = me, granters, life, machine, pace
        self.others = [one for one in granters if one != me]
        self.majority = len(granters) // 2 + 1
        self.blank = True
        self.promised = 0
        self.base = self.base_token = 0  # what is folded
        self.entries: list[tuple[int, bytes]] = []  # (token, data) behind it
        self.agreed = 0  # up to there, as far as is known here
        self.lead: Lead | None = None
        self.torn = 0
        self.log: list[str] = []
        self.changes: list[Change] = []  # for a folder, where there is one
        self.mute = False  # what it would confirm could not be kept
        self._past = machine.folded()
        self._target: tuple[int, int] | None = (
            None  # while blank: (token, number) at which it is blank no more
        )
        self._told: dict[int, Recovered] = {}
        self._asked_at = -pace
        self._pieces = bytearray()  # of a folded past that comes
        self._piece_of = (0, 0, 0)

    # ---- the log ----

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def token_at(self, number: int) -> int:
        """-1: it is not known here."""
        if number == self.base:
            return self.base_token
        if self.base < number <= self.last:
            return self.entries[number - self.base - 1][0]
        return -1

    def _change(self, kind: Kind, number: int = 0, data: bytes = b"") -> None:
        """What a blank one has counts for nothing: it is kept once it does."""
        if not self.blank:
            self.changes.append(Change(kind, number, data))

    def _promise(self, token: int) -> None:
        if token > self.promised:
            self.promised = token
            self._change(Kind.PROMISE, token)

    def _add(self, token: int, data: bytes) -> None:
        self.entries.append((token, data))
        self._change(Kind.APPEND, token, data)

    def _cut(self, number: int) -> None:
        if number < self.last:
            self.entries = self.entries[: number - self.base]
            self._change(Kind.CUT, number)

    def _remember(self) -> None:
        if self.blank:
            self.blank = False
            self._change(Kind.WHOLE)

    def restore(
        self, base: int, base_token: int, past: bytes, promised: int, entries: list[tuple[int, bytes]]
    ) -> None:
        """From a folder, at a start: all that this granter had confirmed, so it is not blank."""
        self.machine.unfold(past)
        self.base = self.agreed = base
        self.base_token, self._past, self.promised, self.entries = base_token, past, promised, entries
        self.blank = False

    def whole(self) -> tuple[int, int, bytes, int, list[tuple[int, bytes]]]:
        """What `restore` takes."""
        return self.base, self.base_token, self._past, self.promised, self.entries

    def silence(self) -> None:
        """What it would confirm cannot be kept: from now on it is as one that is dead."""
        self.mute = True
        self.let_go()

    def _agree(self, number: int) -> None:
        for at in range(self.agreed + 1, min(number, self.last) + 1):
            self.agreed = at
            if data := self.entries[at - self.base - 1][1]:
                self.machine.apply(at, data)
        if self.agreed - self.base > 2 * KEEP:
            # What the machine keeps now is of all that is agreed; entries behind that stay.
            token = self.token_at(self.agreed)
            self.entries = self.entries[self.agreed - self.base :]
            self.base, self.base_token, self._past = self.agreed, token, self.machine.folded()
            self._change(Kind.WHOLE)

    # ---- the holder ----

    def hold(self, token: int, now: int) -> Out:
        """The duty is ours. Until `serving` it takes up what a majority knows."""
        if self.mute:
            return []
        self.lead = Lead(token, asked_at=now)
        self._promise(token)
        return [(one, Read(token)) for one in self.others] + self._take_up(now)

    def let_go(self) -> None:
        self.lead = None

    @property
    def serving(self) -> bool:
        return self.lead is not None and self.lead.serving

    def propose(self, data: bytes, now: int) -> tuple[int, Out]:
        """The number that it will have if it is agreed on: it is once `agreed` has reached that and the entry
        there bears our token. Raises ValueError where we do not serve, or for data that is empty or too
        long."""
        if self.lead is None or not self.lead.serving:
            raise ValueError("not serving")
        if not 0 < len(data) <= MOST_ENTRY:
            raise ValueError(f"{len(data)} bytes")
        self._add(self.lead.token, data)
        return self.last, self._advance(now)

    def _own(self) -> Remember:
        token = self.lead.token if self.lead is not None else 0
        return Remember(token, self.life, self.blank, self.token_at(self.last), self.last)

    def _take_up(self, now: int) -> Out:
        """Once enough have answered: the best log, from whoever has it."""
        lead = self.lead
        assert lead is not None
        answers = {**lead.answers, self.me: self._own()}
        sound = {one: told for one, told in answers.items() if not told.blank}
        if len(sound) < self.majority and len(answers) < len(self.granters):
            return []
        out: Out = []
        if len(sound) < self.majority:
            self.torn += 1
            lost = "nobody remembers it" if not sound else f"{len(sound)} of {len(self.granters)} remember it"
            self.log.append(f"record: goes on {'anew' if not sound else 'with what is left'}: {lost}")
            lead.found = {one: told.life for one, told in lead.answers.items() if told.blank}
            out += [(one, Found(lead.token, life)) for one, life in lead.found.items()]
        best = max(
            sound, key=lambda one: (sound[one].last_token, sound[one].last, one == self.me), default=self.me
        )
        if best != self.me and (sound[best].last_token, sound[best].last) != (
            self.token_at(self.last),
            self.last,
        ):
            lead.best, lead.wanted = best, self.agreed + 1
            return [*out, self._fetch()]
        return out + self._serve(now)

    def _serve(self, now: int) -> Out:
        lead = self.lead
        assert lead is not None
        self._remember()
        lead.serving, lead.best = True, -1
        # Where each one's log ends is a guess at where it is like ours; who finds otherwise says so.
        lead.peers = {one: Peer(have=self.last) for one in self.others}
        for one, told in lead.answers.items():
            lead.peers[one] = Peer(have=min(told.last, self.last) if not told.blank else 0, life=told.life)
        self._add(lead.token, b"")  # an entry of our own: what stands before is agreed on with it
        return self._advance(now)

    def _fetch(self) -> tuple[int, Word]:
        lead = self.lead
        assert lead is not None
        lead.upto = lead.wanted + AHEAD - 1
        return lead.best, Fetch(lead.token, lead.wanted, len(self._pieces))

    def _advance(self, now: int) -> Out:
        """What a majority has is agreed on, if the last of it is of our own token; then on with the rest."""
        lead = self.lead
        assert lead is not None
        found = sorted([self.last, *(peer.matched for peer in lead.peers.values())], reverse=True)
        number = found[self.majority - 1]
        if number > self.agreed and self.token_at(number) == lead.token:
            self._agree(number)
        out: Out = []
        for one, peer in lead.peers.items():
            out += self._send(one, peer, now)
        return out

    def _send(self, one: int, peer: Peer, now: int) -> Out:
        """The next entries, a few at once; what was lost comes again with the next look (`tick`)."""
        assert self.lead is not None
        out: Out = []
        most = peer.matched + AHEAD if peer.have < 0 else peer.have + 1
        while peer.ahead < min(self.last, most):
            if peer.ahead < self.base:
                return [*out, *self._fold(one, peer, now)]
            peer.ahead += 1
            peer.asked_at = now
            out.append((one, self._append(peer.ahead)))
        return out

    def _append(self, number: int) -> Append:
        assert self.lead is not None
        token, data = self.entries[number - self.base - 1]
        return Append(self.lead.token, number, self.token_at(number - 1), token, self.agreed, data)

    def _fold(self, one: int, peer: Peer, now: int) -> Out:
        assert self.lead is not None
        peer.asked_at = now
        data = self._past[peer.folding : peer.folding + PIECE]
        return [
            (
                one,
                Fold(
                    self.lead.token, self.base, self.base_token, peer.folding, len(self._past),
                    crc32(self._past), data,
                ),
            )
        ]  # fmt: skip

    # ---- time ----

    def tick(self, now: int) -> Out:
        """To be called several times a pace."""
        out: Out = []
        if self.mute:
            return out
        if self.blank and self.lead is None and now - self._asked_at >= self.pace:
            self._asked_at = now
            out += [(one, Recover(self.life)) for one in self.others]
        lead = self.lead
        if lead is None:
            return out
        if not lead.serving:
            if now - lead.asked_at >= self.pace:
                lead.asked_at = now
                out += [(one, Read(lead.token)) for one in self.others if one not in lead.answers]
                if lead.best >= 0:
                    out.append(self._fetch())
                else:
                    out += self._take_up(now)
            return out
        for one, peer in lead.peers.items():
            if now - peer.asked_at >= self.pace:
                peer.ahead, peer.asked_at = max(peer.matched, peer.have), now
                sent = self._send(one, peer, now) if peer.matched < self.last else []
                # Where nothing is left to send: how far all is agreed on, which a blank one answers as well.
                told = Append(lead.token, self.last + 1, self.token_at(self.last), 0, self.agreed, b"")
                out += sent or [(one, told)]
        return out

    # ---- what is heard ----

    def hear(self, sender: int, word: Word, now: int) -> Out:
        if sender not in self.others or self.mute:
            return []
        match word:
            case Recover(life):
                return self._hear_recover(sender, life)
            case Recovered():
                return self._hear_recovered(sender, word)
            case Confirm() | Lacking() | Remember():
                return self._hear_answer(sender, word, now)
        if word.token < self.promised:
            return [(sender, Lacking(self.promised, 0, self.life, False))]  # a later holder is known
        if self.lead is not None and word.token > self.lead.token:
            self.let_go()
        if (
            word.token == self.promised
            and self.lead is not None
            and not isinstance(word, Fetch | Append | Fold)
        ):
            return []
        if not isinstance(word, Fetch):
            self._promise(word.token)
        match word:
            case Read(token):
                return [(sender, Remember(token, self.life, self.blank, self.token_at(self.last), self.last))]
            case Found(token, life):
                if self.blank and life == self.life:
                    self._remember()
                return []
            case Fetch():
                return self._hear_fetch(sender, word)
            case Append():
                return self._hear_append(sender, word, now)
            case Fold():
                return self._hear_fold(sender, word, now)
        return []

    # ---- as a granter ----

    def _hear_append(self, sender: int, word: Append, now: int) -> Out:
        if self.lead is not None and not self.lead.serving:
            return self._fetched(sender, word, now)
        if self.lead is not None:
            return []
        number = word.number - 1 if word.entry_token == 0 else word.number
        if word.number - 1 > self.base and self.token_at(word.number - 1) != word.before:
            return self._lack(sender, word.token, max(self.base, min(self.last, word.number - 2)))
        if word.number - 1 == self.base and self.base_token != word.before:
            return self._lack(sender, word.token, 0)
        if word.number > self.base and word.entry_token:
            if self.token_at(word.number) not in (-1, word.entry_token):
                # It was never agreed on: a later holder's log goes on otherwise.
                self._cut(word.number - 1)
            if word.number == self.last + 1:
                self._add(word.entry_token, word.data)
        self._agree(min(word.agreed, number))
        return self._confirm(sender, word.token, max(number, self.base))

    def _confirm(self, sender: int, token: int, number: int) -> Out:
        number = max(number, self.agreed)  # every holder that serves has that
        if self.blank:
            if self._target is None or self._target[0] != token or number < self._target[1]:
                return self._lack(sender, token, number)
            self._target = None
            self._remember()
            self.log.append("record: caught up")
        return [(sender, Confirm(token, number, self.life))]

    def _lack(self, sender: int, token: int, number: int) -> Out:
        return [(sender, Lacking(token, max(0, number), self.life, self.blank))]

    def _hear_fold(self, sender: int, word: Fold, now: int) -> Out:
        if self.lead is not None and self.lead.serving:
            return []
        if word.base <= self.base:
            return self._confirm(sender, word.token, self.base) if self.lead is None else []
        if self._piece_of != (word.token, word.base, word.check):
            self._piece_of, self._pieces = (word.token, word.base, word.check), bytearray()
        if word.at == len(self._pieces):
            self._pieces += word.data
        if len(self._pieces) < word.whole:
            if self.lead is not None:
                return [self._fetch()]
            return [(sender, Lacking(word.token, 0, self.life, self.blank, len(self._pieces)))]
        whole, self._pieces, self._piece_of = bytes(self._pieces), bytearray(), (0, 0, 0)
        if crc32(whole) != word.check:
            self.log.append("record: a folded past came damaged")
            return []
        self.machine.unfold(whole)
        # What we have behind it stays where it is of the same log: we may have confirmed it.
        alike = self.token_at(word.base) == word.base_token
        self.entries = self.entries[word.base - self.base :] if alike else []
        self.base, self.base_token, self._past = word.base, word.base_token, whole
        self.agreed = word.base
        self._change(Kind.WHOLE)
        if self.lead is not None:
            self.lead.wanted = self.agreed + 1
            return [self._fetch()]
        return self._confirm(sender, word.token, word.base)

    def _hear_fetch(self, sender: int, word: Fetch) -> Out:
        """A holder takes up our log: the next entry, or a piece of what is folded."""
        if self.blank or word.token != self.promised:
            return []
        if word.number <= self.base:
            data = self._past[word.at : word.at + PIECE]
            check = crc32(self._past)
            return [
                (sender, Fold(word.token, self.base, self.base_token, word.at, len(self._past), check, data))
            ]  # fmt: skip
        if word.number > self.last:
            return [
                (sender, Append(word.token, self.last + 1, self.token_at(self.last), 0, self.agreed, b""))
            ]
        out: Out = []
        for number in range(word.number, min(self.last, word.number + AHEAD - 1) + 1):
            token, data = self.entries[number - self.base - 1]
            told = Append(word.token, number, self.token_at(number - 1), token, self.agreed, data)
            out.append((sender, told))
        return out

    def _fetched(self, sender: int, word: Append, now: int) -> Out:
        """As a holder that takes up: an entry of the best log. What we had there otherwise was not agreed
        on."""
        lead = self.lead
        assert lead is not None
        if sender != lead.best or word.token != lead.token:
            return []
        told = lead.answers[sender]
        if word.entry_token and word.number > self.agreed:
            if self.token_at(word.number - 1) != word.before:
                return []  # out of order: asked for again
            if self.token_at(word.number) != word.entry_token:
                # Only what differs goes: the rest may have been confirmed, and we may not get to the end of
                # it.
                self._cut(word.number - 1)
                self._add(word.entry_token, word.data)
        if word.number >= told.last:
            self._cut(told.last)
            if (self.token_at(told.last), self.last) == (told.last_token, told.last):
                return self._serve(now)
            return []
        lead.wanted = max(lead.wanted, word.number + 1)
        return [self._fetch()] if lead.wanted > lead.upto else []

    # ---- a life that remembers nothing ----

    def _hear_recover(self, sender: int, life: int) -> Out:
        lead = self.lead
        if (
            lead is not None
            and lead.serving
            and (peer := lead.peers.get(sender)) is not None
            and peer.life != life
        ):
            # Guards against what its former life has confirmed: this one does not have it.
            lead.peers[sender] = Peer(ahead=self.last, life=life)
        if self.blank:
            return []
        token = lead.token if lead is not None and lead.serving else 0
        return [(sender, Recovered(life, self.promised, token, self.last))]

    def _hear_recovered(self, sender: int, word: Recovered) -> Out:
        if not self.blank or word.life != self.life or self.lead is not None:
            return []
        self._told[sender] = word
        if len(self._told) < self.majority:
            return []
        highest = max(told.promised for told in self._told.values())
        leads = [told for told in self._told.values() if told.serves == highest > 0]
        if leads:
            self._promise(highest)
            self._target = highest, max(told.last for told in leads)
        return []

    # ---- as the holder that serves ----

    def _hear_answer(self, sender: int, word: Confirm | Lacking | Remember, now: int) -> Out:
        lead = self.lead
        if lead is None:
            return []
        if isinstance(word, Lacking) and word.token > lead.token:
            self._promise(word.token)
            self.let_go()  # somebody holds by a later token
            return []
        if word.token != lead.token:
            return []
        if isinstance(word, Remember):
            if lead.serving:
                return []
            lead.answers[sender] = word
            return self._take_up(now) if lead.best < 0 else []
        if not lead.serving:
            return []
        peer = lead.peers[sender]
        if peer.life not in (-1, word.life):
            peer = lead.peers[sender] = Peer(ahead=self.last, life=word.life)
        peer.life = word.life
        if isinstance(word, Confirm):
            peer.matched, peer.have, peer.folding = max(peer.matched, word.number), -1, 0
            peer.ahead = max(peer.ahead, peer.matched)
            return self._advance(now)
        out: Out = []
        if word.blank and lead.found.get(sender) == word.life:
            out.append((sender, Found(lead.token, word.life)))
        if word.at:
            fresh = word.at > peer.folding
            peer.folding = word.at
            return [*out, *self._fold(sender, peer, now)] if fresh and word.at < len(self._past) else out
        if word.number != peer.have:  # once for each such word: one that was sent four would ask for sixteen
            peer.have = peer.ahead = word.number
            peer.folding = 0
            out += self._send(sender, peer, now)
        return out
