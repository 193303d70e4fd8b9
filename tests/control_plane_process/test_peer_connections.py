"""Connections between control plane nodes: truncated frames, restarts, several connections of a peer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.messages import EdgeMessage, encode
from reedspoke.common.node_settings import split_address
from reedspoke.common.transport import CONNECTION_ENDED, LENGTH, MAX_FRAME_BYTES, Channel, FramingError
from reedspoke.control_plane.peers.messages import DiscoveryLeaseRelease, PeerHello, PeerMessage
from reedspoke.control_plane.peers.transport import PeerTransport
from reedspoke.control_plane.tallies.messages import OrderMessage, TallyMessage
from tests.ports import free_port

HOST = "127.0.0.1"
PEER = "127.0.0.7:1"
OTHER = "127.0.0.8:1"
LIMIT_S = 5.0


def no_tallies(sender: str, message: TallyMessage | OrderMessage) -> None:
    """Fail, because no tally messages are expected."""
    raise AssertionError(message)


class NoSessions:
    """Handles connections without sessions: data plane nodes do not connect in these tests."""

    def message_received(self, channel: Channel, message: EdgeMessage) -> None:
        """Fail, because no sessions are expected."""
        raise AssertionError(message)

    def connection_closed(self, channel: Channel) -> None:
        """Do nothing; called for every connection."""


class Listener:
    """A transport, and the messages that it has received."""

    def __init__(self) -> None:
        self.address = f"{HOST}:{free_port((HOST,))}"
        self.received_messages: list[tuple[str, int]] = []
        self.transport = PeerTransport(self.address, "za", self.received, no_tallies, NoSessions())

    def received(self, sender: str, message: PeerMessage) -> None:
        """Record a message."""
        assert isinstance(message, DiscoveryLeaseRelease)
        self.received_messages.append((sender, message.term))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the transport."""
        return await asyncio.open_connection(*split_address(self.address))


Scenario = Callable[[Listener], Awaitable[None]]


def with_listener(scenario: Scenario) -> Listener:
    """Run a scenario with a listening transport."""

    async def run() -> Listener:
        listener = Listener()
        await listener.transport.listen()
        async with asyncio.timeout(LIMIT_S):
            await scenario(listener)
        listener.transport.close()
        await asyncio.sleep(0)
        return listener

    return asyncio.run(run())


def frame(payload: bytes) -> bytes:
    """A frame with this payload."""
    return LENGTH.pack(len(payload)) + payload


def hello(address: str = PEER) -> bytes:
    """The frame of a `PeerHello`."""
    return frame(encode(PeerHello(address, "za")))


def release(term: int) -> bytes:
    """The frame of a `DiscoveryLeaseRelease`."""
    return frame(encode(DiscoveryLeaseRelease(term)))


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    while not condition():
        await asyncio.sleep(0.002)


async def receive_all(channel: Channel) -> None:
    """Receive until there is an error."""
    while True:
        await channel.receive(PeerMessage)


async def wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return when the other side has closed the connection."""
    with suppress(ConnectionError):
        assert await reader.read() == b""


def test_frames_may_arrive_in_any_segments() -> None:
    raw = hello() + release(1) + release(2)

    async def scenario(listener: Listener) -> None:
        for cut in range(1, len(raw)):
            listener.received_messages.clear()
            _, writer = await listener.connect()
            writer.write(raw[:cut])
            await asyncio.sleep(0)
            writer.write(raw[cut:])
            await until(lambda: len(listener.received_messages) == 2)
            assert listener.received_messages == [(PEER, 1), (PEER, 2)]
            writer.close()

    with_listener(scenario)


def test_a_truncated_frame_is_dropped() -> None:
    complete = hello() + release(1)
    raw = complete + release(2)

    async def scenario(listener: Listener) -> None:
        for length in range(len(complete), len(raw)):
            reader, writer = await listener.connect()
            writer.write(raw[:length])
            writer.write_eof()
            await wait_for_end(reader)
            writer.close()

    listener = with_listener(scenario)
    assert listener.received_messages == [(PEER, 1)] * (len(raw) - len(complete))


MALFORMED = {
    "not MessagePack": frame(b"\xc1"),
    "empty frame": frame(b""),
    "another message type": frame(encode(PeerHello(PEER, "za"))),
    "frame too long": LENGTH.pack(MAX_FRAME_BYTES + 1),
    "deeply nested": frame(b"\x91" * 100_000),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_bytes_end_only_their_own_connection(name: str) -> None:
    async def scenario(listener: Listener) -> None:
        _, other = await listener.connect()
        other.write(hello(OTHER) + release(1))
        await until(lambda: listener.received_messages == [(OTHER, 1)])
        reader, writer = await listener.connect()
        writer.write(hello() + MALFORMED[name] + release(7))
        await wait_for_end(reader)
        other.write(release(2))
        await until(lambda: len(listener.received_messages) == 2)
        _, reconnected = await listener.connect()
        reconnected.write(hello() + release(8))
        await until(lambda: len(listener.received_messages) == 3)
        assert listener.received_messages == [(OTHER, 1), (OTHER, 2), (PEER, 8)]
        for item in (other, writer, reconnected):
            item.close()

    with_listener(scenario)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60), st.integers(0, 60), st.integers(0, 255))
def test_arbitrary_bytes_are_messages_or_a_framing_error(data: bytes, at: int, byte: int) -> None:
    """A channel raises no other errors, which would end the task that owns the connection to a peer."""
    changed = bytearray(release(5))
    changed[at % len(changed)] = byte

    async def read(raw: bytes) -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(raw)
        reader.feed_eof()
        channel = Channel.__new__(Channel)  # without a socket
        channel.idle_timeout_s, channel._reader = None, reader
        with pytest.raises((FramingError, asyncio.IncompleteReadError)):
            await receive_all(channel)

    for raw in (data, frame(data), bytes(changed)):
        asyncio.run(read(raw))


def test_the_end_of_an_older_connection_does_not_affect_a_newer_one() -> None:
    """A restarted peer sends on a new connection while the old one may still be open."""

    async def scenario(listener: Listener) -> None:
        _, old = await listener.connect()
        old.write(hello() + release(1))
        await until(lambda: listener.received_messages == [(PEER, 1)])
        _, new = await listener.connect()
        new.write(hello() + release(2))
        await until(lambda: len(listener.received_messages) == 2)
        old.write(release(3)[:-1])  # a truncated frame
        old.close()
        new.write(release(4) + release(5))
        await until(lambda: len(listener.received_messages) == 4)
        assert listener.received_messages[2:] == [(PEER, 4), (PEER, 5)]
        new.close()

    with_listener(scenario)


def test_each_connection_keeps_its_order_whatever_the_others_receive() -> None:
    async def scenario(listener: Listener) -> None:
        writers = [(await listener.connect())[1] for _ in range(3)]
        for writer in writers:
            writer.write(hello())
        for term in range(50):
            for number, writer in enumerate(writers):
                writer.write(release(1000 * number + term))
        await until(lambda: len(listener.received_messages) == 150)
        for number, writer in enumerate(writers):
            terms = [term for _, term in listener.received_messages if term // 1000 == number]
            assert terms == [1000 * number + term for term in range(50)]
            writer.close()

    with_listener(scenario)


def test_messages_received_on_an_outgoing_connection_end_only_that_connection() -> None:
    """Peers send only on connections that they opened themselves; other messages are not accepted."""

    async def scenario(listener: Listener) -> None:
        received_messages: list[int] = []

        async def other_side(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            channel = Channel(reader, writer)
            writer.write(release(9))
            try:
                await channel.receive(PeerHello)
                while True:
                    received_messages.append((await channel.receive(PeerMessage)).term)
            except CONNECTION_ENDED:
                channel.close()

        address = f"{HOST}:{free_port((HOST,))}"
        server = await asyncio.start_server(other_side, *split_address(address))
        term = 0
        while len(received_messages) < 3:
            term += 1
            listener.transport.send(address, DiscoveryLeaseRelease(term))
            await asyncio.sleep(0.02)
        assert listener.received_messages == []
        server.close()

    with_listener(scenario)
