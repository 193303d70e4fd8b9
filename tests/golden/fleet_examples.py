"""Messages between schedulers of the program in service.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.fleet.frames import (
    Accept,
    Ack,
    Ask,
    Branch,
    Creed,
    Entry,
    Holder,
    Leased,
    News,
    Ping,
    Prepare,
    Promise,
    Propose,
    Refuse,
    Release,
    Root,
    Want,
)
from reedspoke.fleet.log_messages import (
    Answered,
    Append,
    Asked,
    Confirm,
    Fetch,
    Fold,
    Found,
    Lacking,
    Read,
    Recorded,
    Recover,
    Recovered,
    Remember,
)

FLEET_MESSAGES: dict[str, Struct] = {
    "1": Ping(number=1),
    "1 by default": Ping(number=1),
    "2": Ack(number=1),
    "2 by default": Ack(number=1),
    "3": Ask(number=1, target=2),
    "3 by default": Ask(number=1, target=2),
    "4": News(member=1, life=2, rank=3, state=1),
    "4 by default": News(member=1, life=2, rank=3, state=1),
    "5": Leased(duty=1, term=2, message=Prepare(ballot=3)),
    "5 by default": Leased(duty=1, term=2, message=Prepare(ballot=3)),
    "6": Holder(duty=1, token=2, span=3),
    "6 by default": Holder(duty=1, token=2, span=3),
    "7": Creed(digest=1),
    "7 by default": Creed(digest=1),
    "8": Entry(
        number=1,
        born=2,
        version=3,
        zone=4,
        phase=5,
        holds=(
            6,
            7,
        ),
        lacks=(
            8,
            9,
        ),
    ),
    "8 by default": Entry(number=1, born=2, version=3, zone=4),
    "9": Root(digest=1, agree=b"bytes2"),
    "9 by default": Root(digest=1),
    "10": Branch(low=1, high=2, digests=b"bytes3"),
    "10 by default": Branch(low=1, high=2, digests=b"bytes3"),
    "11": Want(low=1, high=2),
    "11 by default": Want(low=1, high=2),
    "12": Recorded(record=1, word=Read(token=2)),
    "12 by default": Recorded(record=1, word=Read(token=2)),
    "13": Asked(number=1, data=b"bytes2"),
    "13 by default": Asked(number=1, data=b"bytes2"),
    "14": Answered(number=1, data=b"bytes2"),
    "14 by default": Answered(number=1, data=b"bytes2"),
}

LEASE_MESSAGES: dict[str, Struct] = {
    "0": Prepare(ballot=1),
    "0 by default": Prepare(ballot=1),
    "1": Promise(ballot=1, held=2),
    "1 by default": Promise(ballot=1, held=2),
    "2": Propose(ballot=1),
    "2 by default": Propose(ballot=1),
    "3": Accept(ballot=1),
    "3 by default": Accept(ballot=1),
    "4": Refuse(ballot=1, highest=2),
    "4 by default": Refuse(ballot=1, highest=2),
    "5": Release(ballot=1, heir=2),
    "5 by default": Release(ballot=1),
}

LOG_WORDS: dict[str, Struct] = {
    "0": Read(token=1),
    "0 by default": Read(token=1),
    "1": Remember(token=1, life=2, blank=True, last_token=3, last=4),
    "1 by default": Remember(token=1, life=2, blank=True, last_token=3, last=4),
    "2": Fetch(token=1, number=2, at=3),
    "2 by default": Fetch(token=1, number=2, at=3),
    "3": Append(token=1, number=2, before=3, entry_token=4, agreed=5, data=b"bytes6"),
    "3 by default": Append(token=1, number=2, before=3, entry_token=4, agreed=5, data=b"bytes6"),
    "4": Confirm(token=1, number=2, life=3),
    "4 by default": Confirm(token=1, number=2, life=3),
    "5": Lacking(token=1, number=2, life=3, blank=True, at=4),
    "5 by default": Lacking(token=1, number=2, life=3, blank=True),
    "6": Fold(token=1, base=2, base_token=3, at=4, whole=5, check=6, data=b"bytes7"),
    "6 by default": Fold(token=1, base=2, base_token=3, at=4, whole=5, check=6, data=b"bytes7"),
    "7": Found(token=1, life=2),
    "7 by default": Found(token=1, life=2),
    "8": Recover(life=1),
    "8 by default": Recover(life=1),
    "9": Recovered(life=1, promised=2, serves=3, last=4),
    "9 by default": Recovered(life=1, promised=2, serves=3, last=4),
}
