"""Events that the fleet's component of the reducer handles, and effects that it requests.

`recipient` is a member or EVERY_PEER; `expires_at` is in microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from reedspoke.fleet.messages.frame import EVERY_PEER
from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.net.effects import ExtensionEffect, ExtensionEvent

# ---- events ----


class SocketOpened(ExtensionEvent):
    """The socket is open: messages between schedulers can be exchanged."""


class DatagramReceived(ExtensionEvent):
    """A datagram with unchecked content has been received; `sender` is the member with its source address."""

    body: bytes
    sender: int


class RoleCallFinished(ExtensionEvent):
    """An HTTP call for a role has ended.

    `status` is the HTTP status, 0 without a response. `later_token` is the higher fencing token that the
    target knows, 0 if there is none.
    """

    role: str
    status: int
    later_token: int = 0


class LogChangesStored(ExtensionEvent):
    """The changes of a `StoreLogChanges` are on disk: the messages that depend on them may be sent."""

    deferred_sends: tuple[SendDatagrams, ...]


class LogStoreFailed(ExtensionEvent):
    """The changes of a `StoreLogChanges` could not be stored, and the write is not retried."""


# ---- effects ----


class SendDatagrams(ExtensionEffect):
    """Send datagrams to one scheduler or to every other one, without a delivery guarantee."""

    bodies: tuple[bytes, ...]
    recipient: int = EVERY_PEER


class CallRoleTarget(ExtensionEffect):
    """Call the target of a role with the fencing token, unless the lease has expired meanwhile."""

    role: str
    token: int
    expires_at: int


class RoleAcquired(ExtensionEffect):
    """This scheduler holds a delegated role until `expires_at`; repeated with each renewal of the lease."""

    role: str
    token: int
    expires_at: int


class RoleLost(ExtensionEffect):
    """This scheduler no longer holds a delegated role."""

    role: str


class StoreLogChanges(ExtensionEffect):
    """Write the changes to disk, and answer with `LogChangesStored` or `LogStoreFailed`."""

    changes: tuple[LogChange, ...]
    deferred_sends: tuple[SendDatagrams, ...]
