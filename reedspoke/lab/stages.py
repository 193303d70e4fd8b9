"""Two stages for timelines: the pure cores in virtual time, and real processes with the relay between them.

What is true (who runs, who reaches whom) is kept here by `Truth`, from the timeline alone; what each process
believes is asked of it, by the same words on both stages. Claims compare the two.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Protocol

from reedspoke.booking.http_api import rfc3339
from reedspoke.booking.limits import BookingLimits
from reedspoke.booking.messages import CancelCommand, ReserveCommand
from reedspoke.lab import relay
from reedspoke.lab.rig import DUTY as RIG_DUTY
from reedspoke.lab.rig import Rig
from reedspoke.lab.timeline import HOLDER, MS, OTHERS, Action, Claim, Timeline, drawn
from reedspoke.lab.virtual import DUTY, Play, Weather

SECOND = 1000 * MS
SAMPLE = 50 * MS  # between two looks at claims that are due
SLOW = 100 * MS  # the same on real processes, of which each is asked
BACK = {"start", "go", "heal"}  # what undoes something: for whoever stood in the holder's column before
Ways = set[tuple[int, int]]  # (sender, receiver)


@dataclass(slots=True)
class Seen:
    """What one process says: of the others, by number, and of the duty, its token where it holds it."""

    standing: dict[int, str]
    token: int = 0
    serving: bool = False  # it leads the record of bookings
    kept: dict[str, tuple[int, int, int, int]] | None = (
        None  # bookings as it knows them: slots, from, to, version
    )
    digest: str = ""  # where it says that the view has settled
    behind: tuple[int, ...] = ()


@dataclass(slots=True)
class Truth:
    """What the timeline has done so far."""

    size: int
    up: set[int] = field(default_factory=set)
    stopped: set[int] = field(default_factory=set)
    groups: dict[int, str] = field(default_factory=dict)
    deaf: dict[int, set[int]] = field(default_factory=dict)  # who does not hear whom

    def lively(self) -> list[int]:
        return sorted(self.up - self.stopped)

    def cuts(self) -> Ways:
        """Ways on which nothing passes."""
        numbers = range(self.size)
        parted = {
            (one, other)
            for one in numbers
            for other in numbers
            if self.groups.get(one, "") != self.groups.get(other, "")
        }
        return parted | {(speaker, one) for one, speakers in self.deaf.items() for speaker in speakers}

    def expected(self, one: int) -> dict[int, str]:
        """Of each other node: alive, lost, or either ("") where only news by way of several could tell."""
        cuts, lively = self.cuts(), set(self.lively())

        def joined(a: int, b: int) -> bool:
            return (a, b) not in cuts and (b, a) not in cuts

        near = {other for other in lively if joined(one, other)}
        reach = near | {other for other in lively for helper in near if joined(helper, other)}
        whole = set(reach)
        while more := {other for other in lively - whole for helper in whole if joined(helper, other)}:
            whole |= more
        half = {other for other in lively if (one, other) not in cuts or (other, one) not in cuts}
        told = {}
        for other in set(range(self.size)) - {one}:
            told[other] = "alive" if other in reach else "" if other in whole | half else "lost"
        return told


class Stage(Protocol):
    """Where a timeline is played. Times in us of the stage's own clock."""

    sample: int

    async def do(self, number: int, action: Action) -> None:
        """What the node does; cuts and weather come by `shape`."""

    def shape(self, cuts: Ways, weather: dict[int, tuple[float, float, float]]) -> None:
        """Ways that are cut, and by sender: share lost, longest delay in us, share doubled."""

    def order(self, number: int, action: Action) -> None:
        """A booking or a cancellation, at that node's door."""

    def told(self) -> list[tuple[str, int, str]]:
        """Names, versions and what became of them, since the last call."""

    async def until(self, at: int) -> None: ...

    def now(self) -> int: ...

    async def seen(self, numbers: Iterable[int]) -> dict[int, Seen]: ...

    def broken(self) -> list[str]:
        """What must hold at all times and did not."""


@dataclass(slots=True)
class Played:
    """`late`: claims by row and order that did not hold in time, with what was seen then."""

    told: Timeline
    late: dict[tuple[int, int], str]
    broken: list[str]
    settled: dict[tuple[int, int], int]  # us that each claim took
    answers: dict[str, list[str]] = field(default_factory=dict)  # what was told of each booking

    @property
    def held(self) -> bool:
        return not self.late and not self.broken

    def drawn(self) -> str:
        """The timeline, with what became of each claim."""
        marks = {key: f" [{took / SECOND:.2f}]" for key, took in self.settled.items()}
        marks |= {key: f" <== NOT: {why}" for key, why in self.late.items()}
        return drawn(self.told, marks) + "".join(f"NOT: {what}\n" for what in self.broken)


CAP = 6  # slots of the laboratory's zones that may be booked
ZONES = ("north", "south")
BOOKING_LIMITS = BookingLimits(dict.fromkeys(ZONES, CAP), {}, step_s=1, horizon_s=86_400)


def most_booked(kept: dict[str, tuple[int, int, int, int]]) -> int:
    """Counted anew, by the ends of all bookings: zones are told apart by the names' first letter."""
    most = 0
    for zone in {name[0] for name in kept}:
        ends = [one for name, one in kept.items() if name[0] == zone]
        for _, at, _, _ in ends:
            most = max(most, sum(slots for slots, begin, end, _ in ends if begin <= at < end))
    return most


class Player:
    def __init__(self, told: Timeline, stage: Stage) -> None:
        self.told, self.stage = told, stage
        self.truth = Truth(len(told.nodes))
        self.numbers = {name: number for number, name in enumerate(told.nodes)}
        self.weather: dict[int, tuple[float, float, float]] = {}
        self._stood = 0  # in the holder's column last
        self._highest = 0  # token seen
        self._rose = 0  # the highest one at the last `rose`
        self.answers: dict[str, list[str]] = {}  # what was told of each booking, by name
        self.versions: dict[tuple[str, int], set[str]] = {}  # the same, by name and version
        self.ended: dict[str, int] = {}  # the highest version by which anybody cancelled it

    async def play(self) -> Played:
        late: dict[tuple[int, int], str] = {}
        settled: dict[tuple[int, int], int] = {}
        pending: dict[tuple[int, int], tuple[Claim, int]] = {}
        for at, row in enumerate(self.told.rows):
            await self._look_until(row.at, pending, late, settled)
            for order, claim in enumerate(row.claims):
                if claim.within:
                    pending[at, order] = claim, row.at
                elif why := self._lacks(claim, await self._seen()):
                    late[at, order] = why
            await self._act(row.cells)
        await self._look_until(self.told.end(), pending, late, settled, whole=True)
        return Played(self.told, late, [*self.stage.broken(), *await self.books()], settled, self.answers)

    async def _look_until(
        self, end: int, pending: dict[tuple[int, int], tuple[Claim, int]], late: dict[tuple[int, int], str],
        settled: dict[tuple[int, int], int], *, whole: bool = False,
    ) -> None:  # fmt: skip
        """A claim that became true need not stay so; one whose time has come is judged by the last look."""
        while pending or self.stage.now() < end:
            now = self.stage.now()
            if pending:
                seen = await self._seen()
                now = self.stage.now()
                for key, (claim, since) in list(pending.items()):
                    if not (why := self._lacks(claim, seen)):
                        settled[key] = now - since
                    elif now >= since + claim.within:
                        late[key] = why
                    else:
                        continue
                    del pending[key]
            if now >= end and not (whole and pending):
                return
            await self.stage.until(
                min(now + self.stage.sample, end if now < end else now + self.stage.sample)
            )

    async def _act(self, cells: dict[str, tuple[Action, ...]]) -> None:
        truth, doing = self.truth, list[tuple[int, Action]]()
        if HOLDER in cells and not BACK & {action.word for action in cells[HOLDER]}:
            holders = [number for number, one in (await self._seen()).items() if one.token]
            self._stood = holders[0] if holders else self._stood
        for name, actions in cells.items():
            number = self.numbers.get(name, self._stood)
            for action in actions:
                match action.word:
                    case "cut":
                        truth.groups[number] = action.args[0]
                    case "deaf":
                        truth.deaf.setdefault(number, set()).update(self.numbers[arg] for arg in action.args)
                    case "heal":
                        truth.groups.pop(number, None)
                        truth.deaf.pop(number, None)
                        self.weather.pop(number, None)
                    case "lose" | "delay" | "twice":
                        loss, delay, twice = self.weather.get(number, (0.0, 0.0, 0.0))
                        told = {"lose": loss, "delay": delay, "twice": twice, action.word: action.number()}
                        self.weather[number] = told["lose"], told["delay"], told["twice"]
                    case "book" | "cancel":
                        if action.word == "cancel":
                            version = order_of(action, 0).version
                            self.ended[action.args[0]] = max(version, self.ended.get(action.args[0], 0))
                        self.stage.order(number, action)
                    case word:
                        doing.append((number, action))
                        if word in ("start", "restart"):
                            truth.up.add(number)
                            truth.stopped.discard(number)
                        elif word in ("kill", "leave"):
                            truth.up.discard(number)
                            truth.stopped.discard(number)
                        elif word == "stop":
                            truth.stopped.add(number)
                        elif word == "go":
                            truth.stopped.discard(number)
        self.stage.shape(truth.cuts(), self.weather)
        await asyncio.gather(*(self.stage.do(number, action) for number, action in doing))

    async def _seen(self) -> dict[int, Seen]:
        for name, version, what in self.stage.told():
            self.answers.setdefault(name, []).append(what)
            self.versions.setdefault((name, version), set()).add(what)
        seen = await self.stage.seen(self.truth.lively())
        self._highest = max([self._highest, *(one.token for one in seen.values())])
        return seen

    # ---- claims ----

    def _lacks(self, claim: Claim, seen: dict[int, Seen]) -> str:
        """Why it does not hold; "": it does."""
        names = self.told.nodes
        holders = [number for number, one in seen.items() if one.token]
        match claim.word:
            case "agreed" | "settled":
                for number in self.truth.lively():
                    if number not in seen:
                        return f"{names[number]} does not answer"
                    for at, expected in self.truth.expected(number).items():
                        said = seen[number].standing.get(at, "unseen")
                        if expected and (said in ("alive", "suspect")) != (expected == "alive"):
                            return f"{names[number]} says {names[at]} {said}"
                if claim.word == "settled":
                    return self._unsettled(seen)
            case "says":
                one, other, wanted = claim.args
                said = seen[self.numbers[one]].standing.get(self.numbers[other], "unseen")
                if said != wanted and not (wanted == "lost" and said in ("suspect", "gone")):
                    return f"{one} says {other} {said}"
            case "held":
                able = {
                    self.numbers.get(arg, self._stood) for arg in claim.args if arg not in ("one", OTHERS)
                }
                if not able:
                    able = set(range(len(names))) - ({self._stood} if OTHERS in claim.args else set())
                if len(holders) != 1 or not able & set(holders):
                    return f"held by {' '.join(names[one] for one in holders) or 'nobody'}"
            case "serving":
                leads = [names[number] for number, one in seen.items() if one.serving]
                return "" if len(leads) == 1 else f"led by {' '.join(leads) or 'nobody'}"
            case "booked" | "refused" | "answered" | "one":
                return self._unbooked(claim)
            case "sum":
                most = max(
                    [most_booked(one.kept) for one in seen.values() if one.kept is not None], default=0
                )
                return f"{most} are booked" if most > int(claim.args[0]) else ""
            case "free" if holders:
                return f"held by {' '.join(names[one] for one in holders)}"
            case "rose":
                if self._highest <= self._rose:
                    return f"the token is {self._highest} still"
                self._rose = self._highest
        return ""

    def _unbooked(self, claim: Claim) -> str:
        last = {
            name: next((what for what in reversed(self.answers.get(name, ())) if what != "unknown"), "")
            for name in claim.args
        }
        told = ", ".join(f"{name} {what or 'not answered'}" for name, what in last.items())
        if claim.word == "one":
            whole = sorted(last.values()) == sorted(["booked"] + ["refused"] * (len(last) - 1))
            return "" if whole else told
        wanted = ("booked", "refused", "cancelled", "stale") if claim.word == "answered" else (claim.word,)
        return "" if all(what in wanted for what in last.values()) else told

    async def books(self) -> list[str]:
        """At the end: what was told of bookings, against what those know who have heard of all."""
        seen = await self._seen()
        known = [one.kept for one in seen.values() if one.kept is not None]
        broken = ["overbooked"] if any(most_booked(one) > CAP for one in known) else []
        leads = [one.kept for one in seen.values() if one.serving and one.kept is not None]
        for kept in leads:
            for (name, version), told in self.versions.items():
                stands = kept[name][3] if name in kept else -1
                if "booked" in told and stands < version and self.ended.get(name, -1) < version:
                    broken.append(f"{name} was booked and is lost")
                if told == {"refused"} and stands == version:
                    broken.append(f"{name} was refused and is booked")
                if "cancelled" in told and 0 <= stands <= version and "booked" not in told:
                    broken.append(f"{name} was cancelled and is booked")
        return broken

    def _unsettled(self, seen: dict[int, Seen]) -> str:
        """All that reach each other have to say that it has settled, and on the same."""
        names = self.told.nodes
        for number, one in seen.items():
            if not one.digest:
                return f"{names[number]} misses {' '.join(names[at] for at in one.behind) or 'something'}"
            for at, expected in self.truth.expected(number).items():
                if expected == "alive" and seen[at].digest != one.digest:
                    return f"{names[number]} and {names[at]} differ"
        return ""


def books(told: Timeline) -> bool:
    return any(action.word == "book" for row in told.rows for cell in row.cells.values() for action in cell)


def order_of(action: Action, began: int) -> ReserveCommand | CancelCommand:
    """`book NAME ZONE SLOTS FROM..TO [VERSION]`, times in s from `began`; `cancel NAME [VERSION]`, else 1."""
    if action.word == "cancel":
        return CancelCommand(action.args[0], int(action.args[1]) if len(action.args) > 1 else 1, began)
    name, zone, slots, window, *version = action.args
    begin, _, end = window.partition("..")
    return ReserveCommand(
        name,
        int(version[0]) if version else 0,
        "team",
        zone,
        int(slots),
        began + int(begin),
        began + int(end),
        1,
        1,
    )


def granters(told: Timeline) -> tuple[int, ...]:
    """By the setting; else the first five."""
    named = told.settings.get("granters", "").split()
    return tuple(told.nodes.index(name) for name in named) or tuple(range(min(5, len(told.nodes))))


class Virtual:
    """The pure cores; by seed, to the byte."""

    sample = SAMPLE

    def __init__(self, told: Timeline, seed: int) -> None:
        self.inner = Play(
            len(told.nodes), seed, int(told.setting("period", "400ms")),
            int(told.setting("term", "1s")), 0.05,
            granters=granters(told), started=False, booking_limits=BOOKING_LIMITS if books(told) else None,
            folder=told.setting("folder", "0") > 0,
        )  # fmt: skip
        self._names: dict[tuple[int, int], tuple[str, int]] = {}  # by node and ticket: name and version

    def order(self, number: int, action: Action) -> None:
        play = self.inner
        process = play.processes.get(number)
        if process is None or process.stopped or process.booking_node is None:
            return
        order = order_of(action, play.born // SECOND)
        request, out = process.booking_node.service.submit(order, process.clock())
        self._names[number, request] = order.name, order.version
        process.party.enqueue(out)
        process.flush()

    def told(self) -> list[tuple[str, int, str]]:
        found = list[tuple[str, int, str]]()
        for number, process in self.inner.processes.items():
            if process.booking_node is None:
                continue
            completed = process.booking_node.service.completed
            for request, outcome in completed:
                if (asked := self._names.pop((number, request), None)) is not None:
                    found.append((*asked, str(outcome.status)))
            completed.clear()
        return found

    async def do(self, number: int, action: Action) -> None:
        play = self.inner
        match action.word:
            case "start" | "restart":
                play.start(number)
            case "kill":
                play.kill(number)
            case "leave":
                alive = [one for one in play.processes if one != number]
                play.leave(number, play.random.choice(alive) if alive else -1)
            case "stop" | "go":
                play.processes[number].stopped = action.word == "stop"
            case "release":
                play.processes[number].want(False)
                play.processes[number].want(True)

    def shape(self, cuts: Ways, weather: dict[int, tuple[float, float, float]]) -> None:
        self.inner.weather.cuts = cuts
        self.inner.weathers = {
            number: Weather(loss, (200, int(max(delay, 2_000))), twice)
            for number, (loss, delay, twice) in weather.items()
        }

    async def until(self, at: int) -> None:
        self.inner.run(max(0, at - self.inner.now))

    def now(self) -> int:
        return self.inner.now

    async def seen(self, numbers: Iterable[int]) -> dict[int, Seen]:
        told = {}
        for number in numbers:
            process = self.inner.processes[number]
            standing = {at: one.state.name.lower() for at, one in process.membership.members.items()}
            lease = process.duties.leases[DUTY]
            view, booking_node = process.view.convergence(), process.booking_node
            replicated_log = booking_node.replicated_log if booking_node is not None else None
            kept = None
            if booking_node and booking_node.table and replicated_log and not replicated_log.recovering:
                kept = {
                    name: (one.slots, one.begin, one.end, one.version)
                    for name, one in booking_node.table.reservations.items()
                    if not one.cancelled
                }
            told[number] = Seen(
                standing, lease.token if lease.holds(process.clock()) else 0,
                replicated_log is not None and replicated_log.serving, kept,
                f"{view.digest:x}" if view.converged else "", view.behind,
            )  # fmt: skip
        return told

    def broken(self) -> list[str]:
        play = self.inner
        return [
            what
            for what, count in {
                "two holders": play.two_holders, "a token fell": play.token_fell,
                "a datagram over 256 bytes": play.largest > 256,
            }.items()
            if count
        ]  # fmt: skip


class Real:
    """Real processes in a folder, with load; `open` first, and `close` at the end."""

    sample = SLOW

    def __init__(self, told: Timeline, seed: int, folder: Path) -> None:
        size = len(told.nodes)
        self.rig = Rig(
            folder, seed, size, told.setting("term", "1s") / SECOND,
            period=told.setting("period", "400ms") / SECOND,
            granters=granters(told), bookings=dict.fromkeys(ZONES, CAP) if books(told) else None,
            kept=told.setting("folder", "0") > 0,
        )  # fmt: skip
        self._began, self._wall = 0.0, int(time.time())
        self._told: list[tuple[str, int, str]] = []
        self._orders: set[asyncio.Task[None]] = set()
        self._books = books(told)
        self._killed: set[int] = set()
        self.statuses: list[int] = []

    def order(self, number: int, action: Action) -> None:
        task = asyncio.ensure_future(self._order(number, action))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _order(self, number: int, action: Action) -> None:
        order, program = order_of(action, self._wall), self.rig.schedulers[number].program
        path = f"/v1/bookings/{order.name}"
        if isinstance(order, ReserveCommand):
            body = {
                "tenant": order.tenant,
                "zone": order.zone,
                "slots": order.slots,
                "from": rfc3339(order.begin),
                "to": rfc3339(order.end),
                "version": order.version,
            }
            status, text = await program.call("POST", path, json.dumps(body))
        else:
            status, text = await program.call("DELETE", path, json.dumps({"version": order.version}))
        known = status in (200, 201, 202, 409)
        self._told.append((order.name, order.version, json.loads(text)["state"] if known else "unknown"))

    def told(self) -> list[tuple[str, int, str]]:
        found, self._told = self._told, []
        return found

    async def open(self) -> None:
        await self.rig.open(started=False)
        self._began = time.monotonic()

    async def close(self) -> None:
        self.statuses = await self.rig.close()

    async def do(self, number: int, action: Action) -> None:
        rig, one = self.rig, self.rig.schedulers[number]
        match action.word:
            case "start":
                if number in self._killed:  # what is lost until it is back is not its doing
                    self._killed.remove(number)
                    await rig.restart(one, 0)
                else:
                    await rig.start(one)
            case "restart":
                rig.kill(one)
                await rig.restart(one, 0)
            case "kill":
                rig.kill(one)
                self._killed.add(number)
            case "leave":
                await rig.leave(one)
            case "stop":
                rig.stop(one)
            case "go":
                rig.resume(one)
            case "release":
                await one.program.call("POST", f"/v1/fleet/{RIG_DUTY}/release")

    def shape(self, cuts: Ways, weather: dict[int, tuple[float, float, float]]) -> None:
        self.rig.relay.cuts = cuts
        self.rig.relay.weathers = {
            number: relay.Weather(loss, delay / SECOND, twice)
            for number, (loss, delay, twice) in weather.items()
        }

    async def until(self, at: int) -> None:
        await asyncio.sleep(max(0.0, self._began + at / SECOND - time.monotonic()))

    def now(self) -> int:
        return int((time.monotonic() - self._began) * SECOND)

    async def seen(self, numbers: Iterable[int]) -> dict[int, Seen]:
        asked = list(numbers)
        answers = await asyncio.gather(
            *(self.rig.schedulers[number].program.call("GET", "/v1/fleet") for number in asked)
        )
        told = {}
        for number, (status, text) in zip(asked, answers, strict=True):
            if status == 200:
                found = json.loads(text)
                token = next(
                    (
                        one["token"]
                        for one in found["duties"]
                        if one["duty"] == RIG_DUTY and one["holder"] == number
                    ),
                    0,
                )
                view = found["view"]
                serving, kept = await self._bookings(number)
                told[number] = Seen(
                    {one["member"]: one["is"] for one in found["members"]}, token, serving, kept,
                    view["digest"] if view["settled"] else "", tuple(view["behind"]),
                )  # fmt: skip
        return told

    async def _bookings(self, number: int) -> tuple[bool, dict[str, tuple[int, int, int, int]] | None]:
        if not self._books:
            return False, None
        program = self.rig.schedulers[number].program
        status, text = await program.call("GET", "/v1/bookings")
        _, figures = await program.call("GET", "/v1/metrics")
        if status != 200 or "scheduler_record_blank 0" not in figures:
            return False, None
        kept = {
            one["name"]: (
                one["slots"], int(datetime.fromisoformat(one["from"]).timestamp()),
                int(datetime.fromisoformat(one["to"]).timestamp()), one["version"],
            )
            for one in json.loads(text)["bookings"]
        }  # fmt: skip
        return "scheduler_record_serving 1" in figures, kept

    def broken(self) -> list[str]:
        rig = self.rig
        return [
            what
            for what, count in {
                "two holders": rig.watcher.two_holders,
                "a stale act was carried out": rig.registry.stale_accepted(),
                "a datagram over 256 bytes": rig.relay.largest > 256, "a request is lost": rig.tally.lost,
                "a wrong answer": rig.tally.wrong,
                "something unsafe ran twice": rig.fleet.ledger.unsafe_twice,
                "a defect is logged": rig.faults_told(),
            }.items()
            if count
        ]  # fmt: skip


def played(told: Timeline, seed: int) -> Played:
    """In virtual time."""
    return asyncio.run(Player(told, Virtual(told, seed)).play())


async def played_really(told: Timeline, seed: int, folder: Path) -> Played:
    """On real processes. Raises LabError where they cannot be started."""
    stage = Real(told, seed, folder)
    await stage.open()
    try:
        result = await Player(told, stage).play()
    finally:
        await stage.close()
    kept = [what for what in result.broken if "book" in what]
    result.broken = [*stage.broken(), *kept]  # with what the end of all of them told
    return result
