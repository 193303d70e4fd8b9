"""What the fleet's component of the reducer is told (events) and what it asks for (effects).

`recipient` is a member or EVERY_PEER; `expires_at` is microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from reedspoke.fleet.messages.frame import EVERY_PEER
from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.net.effects import ExtensionEffect, ExtensionEvent

# ---- events ----


class SocketOpened(ExtensionEvent):
    """Messages between schedulers can be exchanged from now on."""


class DatagramReceived(ExtensionEvent):
    """A datagram has come, which may hold anything; `sender` is the member by its address."""

    body: bytes
    sender: int


class RoleCallFinished(ExtensionEvent):
    """A call of a role has ended.

    `status` is that of the answer, 0 for none; `later_token` the one that the target knows, 0 for none.
    """

    role: str
    status: int
    later_token: int = 0


class LogChangesStored(ExtensionEvent):
    """The changes of a `StoreLogChanges` are on disk: what follows from them may be sent now."""

    then: tuple[SendDatagrams, ...]


class LogStoreFailed(ExtensionEvent):
    """The changes of a `StoreLogChanges` are not on disk, and will never be taken to be."""


# ---- effects ----


class SendDatagrams(ExtensionEffect):
    """Send datagrams to one scheduler or to every other one; they may be lost."""

    bodies: tuple[bytes, ...]
    recipient: int = EVERY_PEER


class CallRoleTarget(ExtensionEffect):
    """Call the target of a role with the fencing token, unless the lease has expired meanwhile."""

    role: str
    token: int
    expires_at: int


class RoleAcquired(ExtensionEffect):
    """A delegated role is this scheduler's until `expires_at`; sent again whenever that is later."""

    role: str
    token: int
    expires_at: int


class RoleLost(ExtensionEffect):
    """A delegated role is this scheduler's no longer."""

    role: str


class StoreLogChanges(ExtensionEffect):
    """Bring the changes to disk, and answer with `LogChangesStored` or `LogStoreFailed`."""

    changes: tuple[LogChange, ...]
    then: tuple[SendDatagrams, ...]
