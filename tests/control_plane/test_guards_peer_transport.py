"""Single guards of the connections between control plane nodes."""

from __future__ import annotations

import asyncio

import pytest

from reedspoke.common.messages import encode
from reedspoke.common.transport import CONNECTION_ENDED, open_channel
from reedspoke.control_plane.peers import link as peer_link
from reedspoke.control_plane.peers import transport as peer_transport
from reedspoke.control_plane.peers.messages import DiscoveryLeaseRelease, PeerHello
from tests.control_plane_process.test_peer_transport import TransportNode, with_two_nodes

LAST_TERM = 99
WAIT_S = 5.0


def test_the_queue_for_a_connection_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link, "MAX_BACKLOG_BYTES", 2 * len(encode(DiscoveryLeaseRelease(1))))

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        for term in range(1, 6):
            first.transport.send(second.address, DiscoveryLeaseRelease(term))
        await second.until(lambda: bool(second.terms))
        first.transport.send(second.address, DiscoveryLeaseRelease(LAST_TERM))
        await second.until(lambda: LAST_TERM in second.terms)
        assert second.terms == [1, 2, LAST_TERM]

    with_two_nodes(scenario)


def test_expired_messages_are_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link, "QUEUE_TTL_S", -1.0)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        first.transport.send(second.address, DiscoveryLeaseRelease(1))

        def has_received_last() -> bool:
            first.transport.send(second.address, DiscoveryLeaseRelease(LAST_TERM))
            return LAST_TERM in second.terms

        await second.until(has_received_last)
        assert 1 not in second.terms

    with_two_nodes(scenario)


def test_incoming_connections_beyond_the_limit_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transport, "MAX_INCOMING_CONNECTIONS", 1)
    monkeypatch.setattr(peer_transport, "HANDSHAKE_TIMEOUT_S", 60.0)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        first.transport.send(second.address, DiscoveryLeaseRelease(1))
        await second.until(lambda: second.terms == [1])
        excess = await open_channel(second.address)
        async with asyncio.timeout(WAIT_S):
            with pytest.raises(CONNECTION_ENDED):
                await excess.receive(PeerHello)
        excess.close()

    with_two_nodes(scenario)


def test_an_idle_incoming_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transport, "PEER_IDLE_TIMEOUT_S", -1.0)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        idle = await open_channel(second.address)
        idle.send(PeerHello("127.0.0.9:9", "za"))
        idle.send(DiscoveryLeaseRelease(1))
        await second.until(lambda: second.terms == [1])
        second.transport.close_idle()
        async with asyncio.timeout(WAIT_S):
            with pytest.raises(CONNECTION_ENDED):
                await idle.receive(PeerHello)
        idle.close()

    with_two_nodes(scenario)


def test_a_connection_without_a_handshake_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transport, "HANDSHAKE_TIMEOUT_S", 0.1)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        idle = await open_channel(second.address)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            async with asyncio.timeout(WAIT_S):
                await idle.receive(PeerHello)
        idle.close()

    with_two_nodes(scenario)


def test_closing_an_idle_outgoing_connection_allows_another(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transport, "MAX_LINKS", 1)
    monkeypatch.setattr(peer_transport, "LINK_IDLE_TIMEOUT_S", -1.0)

    async def scenario(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()
        first.transport.send("127.0.0.9:9", DiscoveryLeaseRelease(1))
        first.transport.close_idle()
        first.transport.send(second.address, DiscoveryLeaseRelease(2))
        await second.until(lambda: second.terms == [2])

    with_two_nodes(scenario)
