"""Connections between control schedulers: cut frames, restarts, several connections of one peer."""

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
from reedspoke.control_plane.tallies.messages import TallyMessage
from tests.ports import free_port

HOST = "127.0.0.1"
PEER = "127.0.0.7:1"
OTHER = "127.0.0.8:1"
LIMIT_S = 5.0


def no_tallies(sender: str, message: TallyMessage) -> None:
    raise AssertionError(message)


class NoSessions:
    """No data plane scheduler comes here."""

    def message_received(self, channel: Channel, message: EdgeMessage) -> None:
        raise AssertionError(message)

    def connection_closed(self, channel: Channel) -> None:
        """Called for every connection."""


class Listener:
    """A transport, and what received_messages by it."""

    def __init__(self) -> None:
        self.address = f"{HOST}:{free_port((HOST,))}"
        self.received_messages: list[tuple[str, int]] = []
        self.transport = PeerTransport(self.address, "za", self.received, no_tallies, NoSessions())

    def received(self, sender: str, message: PeerMessage) -> None:
        assert isinstance(message, DiscoveryLeaseRelease)
        self.received_messages.append((sender, message.term))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*split_address(self.address))


Scenario = Callable[[Listener], Awaitable[None]]


def with_listener(scenario: Scenario) -> Listener:
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
    return LENGTH.pack(len(payload)) + payload


def hello(address: str = PEER) -> bytes:
    return frame(encode(PeerHello(address, "za")))


def release(term: int) -> bytes:
    return frame(encode(DiscoveryLeaseRelease(term)))


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


async def receive_all(channel: Channel) -> None:
    """Until there is an error."""
    while True:
        await channel.receive(PeerMessage)


async def is_over(reader: asyncio.StreamReader) -> None:
    """Returns when the other side has ended the connection."""
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


def test_a_truncated_frame_is_no_message() -> None:
    whole = hello() + release(1)
    raw = whole + release(2)

    async def scenario(listener: Listener) -> None:
        for length in range(len(whole), len(raw)):
            reader, writer = await listener.connect()
            writer.write(raw[:length])
            writer.write_eof()
            await is_over(reader)
            writer.close()

    listener = with_listener(scenario)
    assert listener.received_messages == [(PEER, 1)] * (len(raw) - len(whole))


MALFORMED = {
    "no message": frame(b"\xc1"),
    "an empty frame": frame(b""),
    "another type": frame(encode(PeerHello(PEER, "za"))),
    "an endless one": LENGTH.pack(MAX_FRAME_BYTES + 1),
    "deep": frame(b"\x91" * 100_000),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_bytes_that_are_no_message_end_only_their_own_connection(name: str) -> None:
    async def scenario(listener: Listener) -> None:
        _, other = await listener.connect()
        other.write(hello(OTHER) + release(1))
        await until(lambda: listener.received_messages == [(OTHER, 1)])
        reader, writer = await listener.connect()
        writer.write(hello() + MALFORMED[name] + release(7))
        await is_over(reader)
        other.write(release(2))
        await until(lambda: len(listener.received_messages) == 2)
        _, again = await listener.connect()
        again.write(hello() + release(8))
        await until(lambda: len(listener.received_messages) == 3)
        assert listener.received_messages == [(OTHER, 1), (OTHER, 2), (PEER, 8)]
        for item in (other, writer, again):
            item.close()

    with_listener(scenario)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60), st.integers(0, 60), st.integers(0, 255))
def test_any_bytes_are_messages_or_a_framing_error(data: bytes, at: int, byte: int) -> None:
    """No other error leaves a channel: it would end the task that keeps the connection to a peer."""
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


def test_the_end_of_an_older_connection_leaves_the_newer_one_alone() -> None:
    """A peer that restarts sends on a new one while the old one may still stand."""

    async def scenario(listener: Listener) -> None:
        _, old = await listener.connect()
        old.write(hello() + release(1))
        await until(lambda: listener.received_messages == [(PEER, 1)])
        _, new = await listener.connect()
        new.write(hello() + release(2))
        await until(lambda: len(listener.received_messages) == 2)
        old.write(release(3)[:-1])  # cut off
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


def test_a_peer_that_answers_on_our_connection_ends_only_that() -> None:
    """Answers come on connections of the other's own; what comes on ours instead is not read as one."""

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
