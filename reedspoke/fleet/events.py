"""What the fleet's component of the reducer is told (events) and what it asks for (effects).

`recipient` is a member or EVERY_PEER; `expires_at` is microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from reedspoke.fleet.messages.frame import EVERY_PEER
from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.net.effects import FurtherEffect, FurtherEvent

# ---- events ----


class SocketOpened(FurtherEvent):
    """Messages between schedulers can be exchanged from now on."""


class DatagramReceived(FurtherEvent):
    """A datagram has come, which may hold anything; `sender` is the member by its address."""

    body: bytes
    sender: int


class RoleCallFinished(FurtherEvent):
    """A call of a role has ended.

    `status` is that of the answer, 0 for none; `later_token` the one that the target knows, 0 for none.
    """

    role: str
    status: int
    later_token: int = 0


class LogChangesStored(FurtherEvent):
    """The changes of a `StoreLogChanges` are on disk: what follows from them may be sent now."""

    deferred_sends: tuple[SendDatagrams, ...]


class LogStoreFailed(FurtherEvent):
    """The changes of a `StoreLogChanges` are not on disk, and will never be taken to be."""


# ---- effects ----


class SendDatagrams(FurtherEffect):
    """Send datagrams to one scheduler or to every other one; they may be lost."""

    bodies: tuple[bytes, ...]
    recipient: int = EVERY_PEER


class CallRoleTarget(FurtherEffect):
    """Call the target of a role with the fencing token, unless the lease has expired meanwhile."""

    role: str
    token: int
    expires_at: int


class RoleAcquired(FurtherEffect):
    """A delegated role is this scheduler's until `expires_at`; sent again whenever that is later."""

    role: str
    token: int
    expires_at: int


class RoleLost(FurtherEffect):
    """A delegated role is this scheduler's no longer."""

    role: str


class StoreLogChanges(FurtherEffect):
    """Bring the changes to disk, and answer with `LogChangesStored` or `LogStoreFailed`."""

    changes: tuple[LogChange, ...]
    deferred_sends: tuple[SendDatagrams, ...]
