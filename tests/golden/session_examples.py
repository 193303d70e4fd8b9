"""Messages between data plane and control plane.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.messages import (
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlMember,
    EdgeMember,
    EvacuationOrders,
    FetchRequest,
    MemberList,
    QuotaOutcome,
    QuotaRequest,
    QuotaResponse,
    UnconfirmedResponse,
    WatchRequest,
    WatchResponse,
    WorkerEntry,
    WorkerList,
    ZoneOrder,
)

EDGE_MESSAGES: dict[str, Struct] = {
    "watch": WatchRequest(
        request_id=1,
        node_name="text2",
        incarnation="text3",
        zone="text4",
        versions={
            "text5": (
                6,
                7,
            )
        },
        running={
            "text8": (
                9,
                10,
            )
        },
        draining=True,
        suspects=(
            "text11",
            "text12",
        ),
    ),
    "watch by default": WatchRequest(
        request_id=1,
        node_name="text2",
        incarnation="text3",
        zone="text4",
        versions={
            "text5": (
                6,
                7,
            )
        },
    ),
    "fetch": FetchRequest(
        source="text1",
        known_version=(
            2,
            3,
        ),
        allow_unconfirmed=True,
    ),
    "fetch by default": FetchRequest(source="text1"),
    "quota_ask": QuotaRequest(request_id=1, tenant="text2", units=3.5),
    "quota_ask by default": QuotaRequest(request_id=1, tenant="text2", units=3.5),
}

CONTROL_MESSAGES: dict[str, Struct] = {
    "versions": WatchResponse(
        request_id=1,
        node_name="text2",
        versions={
            "text3": (
                4,
                5,
            )
        },
        running={
            "text6": (
                7,
                8,
            )
        },
        wait_s=9.5,
        confirmed_ago_s=10.5,
        suspects={"text11": 12},
    ),
    "versions by default": WatchResponse(
        request_id=1,
        node_name="text2",
        versions={
            "text3": (
                4,
                5,
            )
        },
    ),
    "unconfirmed": UnconfirmedResponse(
        request_id=1,
        node_name="text2",
        control=(
            ControlMember(address="text3", zone="text4"),
            ControlMember(address="text5", zone="text6"),
        ),
        versions={
            "text7": (
                8,
                9,
            )
        },
    ),
    "unconfirmed by default": UnconfirmedResponse(request_id=1, node_name="text2"),
    "workers": WorkerList(
        version=(
            1,
            2,
        ),
        workers=(
            WorkerEntry(
                instance_id="text3",
                upstream="text4",
                address="text5",
                zone="text6",
                generation="text7",
                capacity=8,
                draining=True,
                cold_left_ms=9.5,
                models=(
                    "text10",
                    "text11",
                ),
            ),
            WorkerEntry(
                instance_id="text12",
                upstream="text13",
                address="text14",
                zone="text15",
                generation="text16",
                capacity=17,
                draining=True,
                cold_left_ms=18.5,
                models=(
                    "text19",
                    "text20",
                ),
            ),
        ),
    ),
    "workers with orders": WorkerList(
        version=(1, 2),
        workers=(),
        evacuated=("text3", "text4"),
        orders=(ZoneOrder(zone="text5", number=2**64 - 6, evacuated=True),),
    ),
    "workers with orders alone": WorkerList(
        version=(1, 2), workers=(), orders=(ZoneOrder(zone="text3", number=4, evacuated=False),)
    ),
    "evacuations": EvacuationOrders(
        version=(1, 2), orders=(ZoneOrder(zone="text3", number=4, evacuated=True),)
    ),
    "workers by default": WorkerList(
        version=(
            1,
            2,
        ),
        workers=(
            WorkerEntry(
                instance_id="text3",
                upstream="text4",
                address="text5",
                zone="text6",
                generation="text7",
                capacity=8,
                draining=True,
                cold_left_ms=9.5,
                models=(
                    "text10",
                    "text11",
                ),
            ),
            WorkerEntry(
                instance_id="text12",
                upstream="text13",
                address="text14",
                zone="text15",
                generation="text16",
                capacity=17,
                draining=True,
                cold_left_ms=18.5,
                models=(
                    "text19",
                    "text20",
                ),
            ),
        ),
    ),
    "configuration": ConfigurationSnapshot(
        version=(
            1,
            2,
        ),
        document=b"bytes3",
    ),
    "configuration by default": ConfigurationSnapshot(
        version=(
            1,
            2,
        ),
        document=b"bytes3",
    ),
    "configuration_delta": ConfigurationDelta(
        base=(
            1,
            2,
        ),
        version=(
            3,
            4,
        ),
        generation=5,
        routes=b"bytes6",
        removed_routes=(
            "text7",
            "text8",
        ),
        upstreams=b"bytes9",
        removed_upstreams=(
            "text10",
            "text11",
        ),
        limits=b"bytes12",
        keyed=True,
        tenants=b"bytes13",
        removed_tenants=(
            "text14",
            "text15",
        ),
    ),
    "configuration_delta by default": ConfigurationDelta(
        base=(
            1,
            2,
        ),
        version=(
            3,
            4,
        ),
        generation=5,
        routes=b"bytes6",
        removed_routes=(
            "text7",
            "text8",
        ),
        upstreams=b"bytes9",
        removed_upstreams=(
            "text10",
            "text11",
        ),
    ),
    "members": MemberList(
        version=(
            1,
            2,
        ),
        control=(
            ControlMember(address="text3", zone="text4"),
            ControlMember(address="text5", zone="text6"),
        ),
        edges=(
            EdgeMember(node_name="text7", incarnation="text8", zone="text9"),
            EdgeMember(node_name="text10", incarnation="text11", zone="text12"),
        ),
    ),
    "members by default": MemberList(
        version=(
            1,
            2,
        ),
        control=(
            ControlMember(address="text3", zone="text4"),
            ControlMember(address="text5", zone="text6"),
        ),
        edges=(
            EdgeMember(node_name="text7", incarnation="text8", zone="text9"),
            EdgeMember(node_name="text10", incarnation="text11", zone="text12"),
        ),
    ),
    "quota_answer": QuotaResponse(request_id=1, outcome=QuotaOutcome.UNAVAILABLE, retry_after_s=2.5),
    "quota_answer by default": QuotaResponse(request_id=1, outcome=QuotaOutcome.UNAVAILABLE),
}
