"""Timelines: what several schedulers do and suffer, as a text with one column a node. Read, drawn, drawn by
lot and cut down here; played by a stage (`stages.py`). The format stands in `docs/timelines.md`. No I/O, no
clock.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random

from reedspoke.errors import ReedspokeError

GAP = re.compile(r"\S+(?: \S+)*")  # a cell: words with single spaces between them
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|%)?")
WINDOW = re.compile(r"(\d+)\.\.(\d+)")
NODE = re.compile(r"[a-z][a-z0-9]{0,7}")
MOST_NODES = 200
HOLDER = "holder"  # a column for whoever holds the duty as the row begins
OTHERS = "others"  # in claims: all but who stood in that column last
MS = 1_000


class TimelineError(ReedspokeError, ValueError):
    """The text is no timeline; `line`: where, from 1."""

    code = "timeline-malformed"
    remedy = "mend the line that the message names: docs/timelines.md"

    def __init__(self, line: int, what: str) -> None:
        super().__init__(f"line {line}: {what}")
        self.line = line


# word -> how many arguments it takes, at the least and at the most
ACTIONS = {
    "start": (0, 0), "kill": (0, 0), "restart": (0, 0), "stop": (0, 0), "go": (0, 0), "leave": (0, 0),
    "cut": (1, 1), "heal": (0, 0), "deaf": (1, 8), "lose": (1, 1), "delay": (1, 1), "twice": (1, 1),
    "release": (0, 1), "book": (4, 5), "cancel": (1, 2),
}  # fmt: skip
BOOKINGS = ("booked", "refused", "answered", "one", "sum")  # claims that name bookings, or a number
# word -> how many arguments; what each means stands with the claims of `stages.py`
CLAIMS = {
    "booked": (1, 8), "refused": (1, 8), "answered": (1, 8), "one": (1, 8), "sum": (1, 1), "serving": (0, 0),
    "agreed": (0, 0), "settled": (0, 0), "held": (0, 8), "free": (0, 0), "rose": (0, 0),
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Action:
    """`word` with its arguments, as in `cut:x` or `lose:20%`."""

    word: str
    args: tuple[str, ...] = ()

    def __str__(self) -> str:
        return ":".join([self.word, ",".join(self.args)]) if self.args else self.word

    def number(self) -> float:
        """The first argument: a share for a percentage, us for a time."""
        found = DURATION.fullmatch(self.args[0])
        assert found is not None
        value, unit = float(found[1]), found[2]
        return value / 100 if unit == "%" else value * (MS if unit == "ms" else 1000 * MS)


@dataclass(slots=True, frozen=True)
class Claim:
    """What must hold: `word` of `args`, `within` us of its row, or at that moment."""

    word: str
    args: tuple[str, ...] = ()
    within: int = 0

    def __str__(self) -> str:
        if self.word in BOOKINGS:
            text = " ".join([self.word, *{"one": ["of"], "sum": ["<="]}.get(self.word, []), *self.args])
        elif self.word == "says":
            text = f"{self.args[0]} says {' '.join(self.args[1:])}"
        else:
            text = " by ".join([self.word, " ".join(self.args)]) if self.args else self.word
        return f"{text} within {self.within / (1000 * MS):g}" if self.within else text


@dataclass(slots=True, frozen=True)
class Row:
    """`at`: us from the beginning. `cells`: what each node does or suffers, by its name."""

    at: int
    cells: dict[str, tuple[Action, ...]] = field(default_factory=dict)
    claims: tuple[Claim, ...] = ()


@dataclass(slots=True, frozen=True)
class Timeline:
    nodes: tuple[str, ...]
    rows: tuple[Row, ...]
    title: str = ""
    settings: dict[str, str] = field(default_factory=dict)

    def setting(self, name: str, default: str) -> float:
        """us for a time, a plain number for the rest."""
        return Action(name, (self.settings.get(name, default),)).number()

    @property
    def columns(self) -> tuple[str, ...]:
        used = any(HOLDER in row.cells for row in self.rows)
        return (*self.nodes, HOLDER) if used else self.nodes

    def end(self) -> int:
        """When the last claim is due."""
        return max(
            (row.at + max([claim.within for claim in row.claims], default=0) for row in self.rows), default=0
        )

    def __str__(self) -> str:
        return drawn(self)


SETTINGS = {"term": "1s", "period": "400ms", "granters": "", "folder": "0"}  # folder 1: bookings are kept


# ---- reading ----


def parse(text: str) -> Timeline:
    """Raises TimelineError, its text names the line."""
    title, settings, columns, rows = list[str](), dict[str, str](), dict[str, int](), list[Row]()
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("#"):
            title.append(line[1:].strip())
        elif not line.strip():
            continue
        elif "|" not in line:
            settings |= _settings(number, line)
        elif not columns:
            columns = _header(number, line)
        else:
            row = _row(number, line, columns)
            if rows and row.at < rows[-1].at:
                raise TimelineError(number, f"{row.at / (1000 * MS):g} s is before the row above")
            rows.append(row)
    if not columns or not rows:
        raise TimelineError(1, "a header with the nodes' names and a row below it are wanted")
    nodes = tuple(name for name in columns if name != HOLDER)
    return Timeline(nodes, tuple(rows), " ".join(title), settings)


def _settings(number: int, line: str) -> dict[str, str]:
    found = {}
    for part in line.split(","):
        name, _, value = part.strip().partition(" ")
        if name not in SETTINGS or not value:
            raise TimelineError(number, f"no setting: {part.strip()!r}; there are {', '.join(SETTINGS)}")
        if name != "granters" and not DURATION.fullmatch(value):
            raise TimelineError(number, f"{name}: no time: {value!r}")
        found[name] = value
    return found


def _cells(line: str) -> tuple[str, str, str, int]:
    """The time, the cells, the claims, and where the cells begin."""
    first, _, rest = line.partition("|")
    middle, _, last = rest.partition("|")
    return first.strip(), middle, last.strip(), len(first) + 1


def _header(number: int, line: str) -> dict[str, int]:
    time, middle, _, begin = _cells(line)
    if time != "s":
        raise TimelineError(number, "the first column is called s")
    columns = {}
    for found in re.finditer(r"\S+", middle):
        if not NODE.fullmatch(found[0]) or found[0] in columns:
            raise TimelineError(number, f"no name of a node, or twice: {found[0]!r}")
        columns[found[0]] = begin + found.start()
    if not 0 < len(columns) <= MOST_NODES:
        raise TimelineError(number, f"{len(columns)} nodes")
    return columns


def _row(number: int, line: str, columns: dict[str, int]) -> Row:
    time, middle, last, begin = _cells(line)
    try:
        at = round(float(time) * 1000 * MS)
    except ValueError:
        raise TimelineError(number, f"no time in s: {time!r}") from None
    cells: dict[str, tuple[Action, ...]] = {}
    for found in GAP.finditer(middle):
        at_column = begin + found.start()
        name = max(
            (name for name in columns if columns[name] <= at_column + 1), key=columns.__getitem__, default=""
        )
        if not name or name in cells:
            raise TimelineError(number, f"{found[0]!r} stands below no node, or two cells below one")
        if found[0] != ".":
            cells[name] = tuple(_actions(number, found[0], columns))
    claims = tuple(_claim(number, text, columns) for text in last.split(";") if text.strip())
    return Row(at, cells, claims)


def _actions(number: int, cell: str, columns: dict[str, int]) -> Iterator[Action]:
    """`cut:x`, or `cut x`: arguments may follow their word as further words that are no actions."""
    words = cell.split()
    while words:
        word, _, rest = words.pop(0).partition(":")
        args, (least, most) = (rest.split(",") if rest else []), ACTIONS.get(word, (1, 0))
        while words and len(args) < most and words[0].partition(":")[0] not in ACTIONS:
            args.append(words.pop(0))
        if not least <= len(args) <= most:
            raise TimelineError(number, f"no action, or wrong arguments: {cell!r}")
        if word == "book" and not (WINDOW.fullmatch(args[3]) and args[2].isdigit()):
            raise TimelineError(
                number, f"{cell}: wanted is book NAME ZONE SLOTS FROM..TO [VERSION], times in s"
            )
        if word in ("deaf", "release") and (missing := set(args) - columns.keys()):
            raise TimelineError(number, f"{cell}: no such node: {', '.join(sorted(missing))}")
        if word in ("lose", "delay", "twice") and not DURATION.fullmatch(args[0]):
            raise TimelineError(number, f"{cell}: a share or a time is wanted")
        yield Action(word, tuple(args))


def _claim(number: int, text: str, columns: dict[str, int]) -> Claim:
    words = text.split()
    within = 0
    if len(words) > 2 and words[-2] == "within":
        if (found := DURATION.fullmatch(words[-1].removesuffix("s"))) is None:
            raise TimelineError(number, f"no time: {words[-1]!r}")
        within, words = round(float(found[1]) * 1000 * MS), words[:-2]
    if len(words) == 4 and words[1] == "says" and {words[0], words[2]} <= columns.keys() and words[3] in SAID:
        return Claim("says", (words[0], words[2], words[3]), within)
    if words[0] in BOOKINGS:
        skip = {"one": ["of"], "sum": ["<="]}.get(words[0], [])
        if words[1 : 1 + len(skip)] == skip and len(words) > 1 + len(skip):
            return Claim(words[0], tuple(words[1 + len(skip) :]), within)
        raise TimelineError(number, f"no claim: {text.strip()!r}")
    args = tuple(words[2:]) if words[1:2] == ["by"] else ()
    least, most = CLAIMS.get(words[0], (1, 0))
    if len(words) != 1 + bool(args) + len(args) or not least <= len(args) <= most:
        raise TimelineError(number, f"no claim: {text.strip()!r}")
    if missing := set(args) - columns.keys() - {"one", OTHERS}:
        raise TimelineError(number, f"{text.strip()}: no such node: {', '.join(sorted(missing))}")
    return Claim(words[0], args, within)


SAID = ("alive", "suspect", "gone", "lost")  # lost: suspect or gone


# ---- drawing ----


def drawn(told: Timeline, marks: dict[tuple[int, int], str] | None = None) -> str:
    """The same form as it is read in. `marks`: by row and claim, what became of it."""
    marks = marks or {}
    names = told.columns
    cells = [[" ".join(map(str, row.cells.get(name, ()))) or "." for name in names] for row in told.rows]
    widths = [max([len(name), *(len(row[at]) for row in cells)]) for at, name in enumerate(names)]
    lines = [f"# {told.title}"] if told.title else []
    if told.settings:
        lines.append(", ".join(f"{name} {value}" for name, value in told.settings.items()))
    heads = "  ".join(name.ljust(width) for name, width in zip(names, widths, strict=True))
    lines.append(f"{'s':>7} | {heads} | must hold")
    for at, row in enumerate(told.rows):
        middle = "  ".join(cell.ljust(width) for cell, width in zip(cells[at], widths, strict=True))
        claims = "; ".join(str(claim) + marks.get((at, order), "") for order, claim in enumerate(row.claims))
        lines.append(f"{row.at / (1000 * MS):7.2f} | {middle} | {claims}".rstrip())
    return "\n".join(lines) + "\n"


# ---- by lot ----


def draw(seed: int, size: int = 5, faults: int = 6, books: bool = True) -> Timeline:
    """From a grammar of faults, each undone after a while, bookings in the middle of them; behind each change
    what must hold in time. A majority of the granters is left alone at each moment, so that the duty always
    finds a holder."""
    random, names = Random(seed), tuple("abcdefghijklmnopqrstuvwxyz"[:size])
    rows = [
        Row(
            0,
            dict.fromkeys(names, (Action("start"),)),
            (Claim("settled", within=SETTLE), Claim("held", within=HOLD)),
        )
    ]
    now = rows[0].at + SETTLE
    for _ in range(faults):
        now += random.randrange(50, 200) * STEP
        fault, undo = random.choice(GRAMMAR)(random, names)
        lasts = random.randrange(50, 400) * STEP
        rows.append(Row(now, fault))
        if books:
            rows += [
                Row(now + at, _booked(random, names)) for at in (0, 30 * STEP, lasts // 2 // STEP * STEP)
            ]
            rows.sort(key=lambda row: row.at)
        now += lasts
        claims: tuple[Claim, ...] = (Claim("settled", within=SETTLE), Claim("held", within=HOLD))
        if books:
            claims = (*claims, Claim("serving", within=LEAD), Claim("sum", ("6",)))
        rows.append(Row(now, undo, claims))
        now += max(SETTLE, HOLD, LEAD if books else 0)
    return Timeline(names, tuple(rows), f"drawn by lot {seed}")


STEP = 10 * MS  # times are drawn with two places
SETTLE, HOLD, LEAD = 6_000 * MS, 5_000 * MS, 9_000 * MS
Cells = dict[str, tuple[Action, ...]]


def _booked(random: Random, names: tuple[str, ...]) -> Cells:
    """One to three orders at different doors; a name comes again now and then, and a few are cancelled."""
    cells: Cells = {}
    for one in random.sample(names, random.randint(1, 3)):
        name = f"n{random.randrange(12)}"
        version = str(random.randrange(3))
        if random.random() < 0.2:
            cells[one] = (Action("cancel", (name, version)),)
        else:
            begin = 1000 + 100 * random.randrange(4)
            window = f"{begin}..{begin + 100 * random.randint(1, 3)}"
            cells[one] = (Action("book", (name, "north", str(random.randint(1, 4)), window, version)),)
    return cells


def _some(random: Random, names: tuple[str, ...]) -> list[str]:
    """Fewer than half."""
    return random.sample(names, random.randint(1, max(1, (len(names) - 1) // 2)))


def _killed(random: Random, names: tuple[str, ...]) -> tuple[Cells, Cells]:
    some = _some(random, names)
    return {one: (Action("kill"),) for one in some}, {one: (Action("start"),) for one in some}


def _stopped(random: Random, names: tuple[str, ...]) -> tuple[Cells, Cells]:
    some = _some(random, names)
    return {one: (Action("stop"),) for one in some}, {one: (Action("go"),) for one in some}


def _parted(random: Random, names: tuple[str, ...]) -> tuple[Cells, Cells]:
    some = _some(random, names)
    cut: Cells = {one: (Action("cut", ("x" if one in some else "y",)),) for one in names}
    return cut, {one: (Action("heal"),) for one in names}


def _deaf(random: Random, names: tuple[str, ...]) -> tuple[Cells, Cells]:
    one, other = random.sample(names, 2)
    return {one: (Action("deaf", (other,)),)}, {one: (Action("heal"),)}


def _lossy(random: Random, names: tuple[str, ...]) -> tuple[Cells, Cells]:
    bad = (Action("lose", ("20%",)), Action("delay", ("200ms",)))
    some = names if random.random() < 0.5 else tuple(_some(random, names))
    return dict.fromkeys(some, bad), {one: (Action("heal"),) for one in some}


def _restarted(random: Random, names: tuple[str, ...]) -> tuple[Cells, Cells]:
    return dict.fromkeys(_some(random, names), (Action("restart"),)), {}


def _left(random: Random, names: tuple[str, ...]) -> tuple[Cells, Cells]:
    one = random.choice(names)
    return {one: (Action("leave"),)}, {one: (Action("start"),)}


GRAMMAR: list[Callable[[Random, tuple[str, ...]], tuple[Cells, Cells]]] = [
    _killed, _stopped, _parted, _deaf, _lossy, _restarted, _left,
]  # fmt: skip


# ---- cutting down ----


def cut_down(told: Timeline, fails: Callable[[Timeline], bool], most: int = 200) -> Timeline:
    """The smallest that still fails, by leaving out rows, cells and claims one after another, up to `most`
    plays. The first row stays."""
    plays = 0

    def tried(rows: list[Row]) -> bool:
        nonlocal plays
        plays += 1
        return plays <= most and fails(replace(told, rows=tuple(rows)))

    rows, again = list(told.rows), True
    while again and plays < most:
        again = False
        for at in range(len(rows) - 1, 0, -1):
            if tried(fewer := rows[:at] + rows[at + 1 :]):
                rows, again = fewer, True
        for at, row in enumerate(rows):
            for slim in _slimmer(row, whole=at > 0):
                if tried([*rows[:at], slim, *rows[at + 1 :]]):
                    rows[at], again = slim, True
                    break
    return replace(told, rows=tuple(rows), title=f"{told.title}, cut down")


def _slimmer(row: Row, *, whole: bool) -> list[Row]:
    less: list[Row] = []
    if whole:
        less += [
            replace(row, cells={name: cell for name, cell in row.cells.items() if name != one})
            for one in row.cells
        ]
    less += [
        replace(row, claims=tuple(claim for claim in row.claims if claim is not one)) for one in row.claims
    ]
    return less
