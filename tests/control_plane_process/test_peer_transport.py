"""Connections between control plane nodes: reopening, bounds and order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from reedspoke.common.messages import EdgeMessage
from reedspoke.common.node_settings import split_address
from reedspoke.common.transport import Channel
from reedspoke.control_plane.peers import link as peer_link
from reedspoke.control_plane.peers import transport as peer_transport
from reedspoke.control_plane.peers.messages import DiscoveryLeaseRelease, PeerMessage
from reedspoke.control_plane.peers.transport import PeerTransport
from reedspoke.control_plane.tallies.messages import OrderMessage, TallyMessage
from tests.ports import free_port

HOST = "127.0.0.1"


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


class TransportNode:
    """A transport, and the terms of the messages that it has received."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.terms: list[int] = []
        self.transport = PeerTransport(address, "za", self.received, no_tallies, NoSessions())

    def received(self, sender: str, message: PeerMessage) -> None:
        """Record a message."""
        assert isinstance(message, DiscoveryLeaseRelease)
        self.terms.append(message.term)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds, for at most 5 seconds."""
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


def with_two_nodes(scenario: Callable[[TransportNode, TransportNode], Awaitable[None]]) -> None:
    """Run a scenario with two nodes, of which only the first is listening."""

    async def run() -> None:
        first, second = (TransportNode(f"{HOST}:{free_port((HOST,))}") for _ in range(2))
        await first.transport.listen()
        await scenario(first, second)
        for node in (first, second):
            node.transport.close()
        await asyncio.sleep(0)

    asyncio.run(run())


def test_messages_arrive_in_order_from_the_first_on() -> None:
    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        for term in range(50):
            first.transport.send(second.address, DiscoveryLeaseRelease(term))
        await second.until(lambda: len(second.terms) == 50)
        assert second.terms == list(range(50))

    with_two_nodes(scenario)


def test_the_connection_is_reopened_when_the_peer_is_back() -> None:
    async def scenario(first: TransportNode, second: TransportNode) -> None:
        first.transport.send(second.address, DiscoveryLeaseRelease(1))
        await asyncio.sleep(0.1)
        await second.transport.listen()
        term = 10

        def sent() -> bool:
            nonlocal term
            term += 1
            first.transport.send(second.address, DiscoveryLeaseRelease(term))
            return bool(second.terms)

        await first.until(sent)
        second.transport.close()
        await asyncio.sleep(0.05)
        third = TransportNode(second.address)
        await third.transport.listen()
        second.terms = third.terms
        await first.until(sent)
        third.transport.close()

    with_two_nodes(scenario)


def test_a_message_to_the_own_address_is_dropped() -> None:
    async def scenario(first: TransportNode, second: TransportNode) -> None:
        first.transport.send(first.address, DiscoveryLeaseRelease(1))
        await asyncio.sleep(0.05)
        assert first.terms == []

    with_two_nodes(scenario)


def test_a_peer_that_does_not_read_loses_messages_and_then_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_link, "MAX_BACKLOG_BYTES", 1_000_000)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        arrived: list[asyncio.StreamWriter] = []

        async def never_reads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            arrived.append(writer)
            writer.transport.pause_reading()  # type: ignore[attr-defined]

        server = await asyncio.start_server(never_reads, *split_address(second.address))
        payload = bytes(500_000)
        for _ in range(400):
            first.transport.send_encoded(second.address, payload)
            await asyncio.sleep(0.001)
            if len(arrived) > 1:
                break
        assert len(arrived) > 1, "the first connection must be closed"
        for writer in arrived:
            writer.transport.abort()
        server.close()

    with_two_nodes(scenario)


def test_small_messages_arrive_while_a_large_one_is_blocked() -> None:
    async def scenario(first: TransportNode, second: TransportNode) -> None:
        received: list[bytearray] = []

        async def reads_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            held = bytearray()
            received.append(held)
            while len(held) < peer_transport.LARGE_MESSAGE_BYTES:
                held += await reader.read(1000)
            await asyncio.Event().wait()

        server = await asyncio.start_server(reads_little, *split_address(second.address))
        first.transport.send_encoded(second.address, bytes(4_000_000))
        for number in range(5):
            first.transport.send_encoded(second.address, b"small %d" % number)
        await first.until(lambda: any(b"small 4" in held for held in received))
        assert len(received) == 2
        first.transport.close()
        server.close()

    with_two_nodes(scenario)


def test_idle_outgoing_connections_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transport, "LINK_IDLE_TIMEOUT_S", 0.0)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        first.transport.send(second.address, DiscoveryLeaseRelease(1))
        await second.until(lambda: second.terms == [1])
        first.transport.close_idle()
        first.transport.send(second.address, DiscoveryLeaseRelease(2))
        await second.until(lambda: second.terms == [1, 2])

    with_two_nodes(scenario)


def test_outgoing_connections_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transport, "MAX_LINKS", 1)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        first.transport.send("127.0.0.9:9", DiscoveryLeaseRelease(0))
        first.transport.send(second.address, DiscoveryLeaseRelease(1))
        await asyncio.sleep(0.1)
        assert second.terms == []

    with_two_nodes(scenario)
