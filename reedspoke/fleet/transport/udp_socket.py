"""The UDP socket for messages between the schedulers of a fleet.

Datagrams may be lost, late, duplicated or forged. A datagram that does not come from the address of a peer
is counted and dropped, and no datagram makes the process fail. If the socket cannot be opened, this is
logged and the scheduler serves without it, as if no peer ever sent a message.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from reedspoke.fleet.events import DatagramReceived, SendDatagrams, SocketOpened
from reedspoke.fleet.messages.sizes import MAX_DATAGRAM_BYTES
from reedspoke.fleet.transport.authentication import FrameKeysError, load_keys
from reedspoke.fleet.transport.channel import FrameChannel
from reedspoke.net.config import Peers
from reedspoke.net.runtime import Runtime

MAX_READS_PER_WAKEUP = 64  # a flood of datagrams must not block other work of the event loop

log = logging.getLogger("reedspoke")


@dataclass(slots=True)
class SocketCounters:
    """The counters of the socket; `unknown_senders` are datagrams from an address that is not a peer's."""

    unknown_senders: int = 0
    datagrams: int = 0
    bytes: int = 0
    failed: int = 0


class PeerSocket:
    """One non-blocking socket for all peers; a datagram that cannot be sent at once is dropped."""

    def __init__(
        self, runtime: Runtime, peers: Peers, node_id: int, channel: FrameChannel, key_file: str = ""
    ) -> None:
        """`node_id` is this scheduler's position among the peers."""
        self.runtime, self.peers, self.channel, self.key_file = runtime, peers, channel, key_file
        self.counters = SocketCounters()
        self._member_by_address = {address: member for member, address in enumerate(peers.addresses)}
        others = tuple(address for member, address in enumerate(peers.addresses) if member != node_id)
        self._every_peer = (peers.all_peers,) if peers.all_peers is not None else others
        self._socket: socket.socket | None = None

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """Returns the handlers of the effects that the socket carries out."""
        return {SendDatagrams: self._send}

    def open(self) -> None:
        """Opens the socket and emits `SocketOpened`; a failure is logged."""
        try:
            self._socket = opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            opened.setblocking(False)
            # During an upgrade, the new process binds the same address while this one is still running.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            opened.bind(self.peers.listen)
        except OSError as error:
            log.warning(
                "fleet: UDP socket %s:%d cannot be opened, no messages are exchanged: %s",
                *self.peers.listen,
                error,
            )
            self.close()
            return
        asyncio.get_running_loop().add_reader(opened.fileno(), self._read)
        self.runtime.emit(SocketOpened())

    def reload(self) -> None:
        """Reads the key file again; the peers are read only at the start."""
        if not self.key_file:
            return
        try:
            self.channel.keys = load_keys(self.key_file)
            log.info("reload: fleet.key_file: new keys are in use: %r", self.channel.keys)
        except FrameKeysError as error:
            log.error("reload: fleet.key_file: the old keys stay in use: %s", error)

    def close(self) -> None:
        """Closes the socket, if it is open."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            if self._socket is None:
                return
            try:
                # One byte more than the limit is read, to detect a datagram that is too long.
                datagram, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # no more datagrams, or an ICMP error for a datagram sent earlier
                return
            member = self._member_by_address.get(address)
            if member is None:
                self.counters.unknown_senders += 1
            else:
                self.runtime.emit(DatagramReceived(datagram, member))

    def _send(self, effect: SendDatagrams) -> None:
        if self._socket is None:
            return
        to_all = effect.recipient < 0
        addresses = self._every_peer if to_all else (self.peers.addresses[effect.recipient],)
        for body in effect.bodies:
            for address in addresses:
                try:
                    self.counters.bytes += self._socket.sendto(body, address)
                    self.counters.datagrams += 1
                except OSError:  # the buffer is full or the port is closed; the protocols tolerate the loss
                    self.counters.failed += 1
