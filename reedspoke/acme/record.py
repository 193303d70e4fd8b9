"""The state of one certificate's renewal as it lies on disk, and its form there. Pure."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from msgspec import Struct

from reedspoke.acme.limits import Pause
from reedspoke.sealed import CorruptFileError, seal, unseal

FORM = 1
MARK = b"reedspoke-acme"


class Record(Struct):
    """Whatever a process that is killed at any moment must not forget."""

    name: str
    hosts: list[str] = []
    authority: str = ""  # of the order under way, or that began one without an answer
    order: str = ""  # its address; "": none that is known
    key: str = ""  # for the order under way
    begun: int = 0  # when it was begun
    certificate: str = ""  # its address, once issued
    published: list[tuple[str, str, str]] = []  # (host, token, challenge) that are findable now
    failures: int = 0  # in a row
    strikes: dict[str, int] = {}  # of them, by authority
    problem: str = ""  # of the last of them, for people
    pause: Pause = msgspec.field(default_factory=Pause)
    barred: dict[str, Pause] = {}  # authorities that will not issue it
    issuer: str = ""  # the authority of the certificate in force
    window: tuple[int, int] = (0, 0)  # that it has named for it
    window_of: str = ""  # the certificate that this is about, by its serial number
    hurried: bool = False  # the one in force came early, as a window asked for that
    ask_at: int = 0  # when it is asked for the window again

    def __repr__(self) -> str:  # the key must not get into a trace
        return f"<Record {self.name} {self.authority} {self.order}>"

    def drop_order(self) -> None:
        self.order = self.key = self.certificate = ""
        self.begun = 0


T = TypeVar("T", bound=Struct)


def packed(told: Struct) -> bytes:
    return seal(MARK, FORM, msgspec.json.encode(told))


def unpacked(raw: bytes, kind: type[T]) -> T:
    """Raises CorruptFileError for what is torn, foreign, or of another form."""
    body = unseal(MARK, FORM, raw)
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise CorruptFileError(f"it is malformed: {error}") from None
