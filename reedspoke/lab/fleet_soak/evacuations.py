"""An operator of a run who evacuates a zone and withdraws that, and what may be in force at its end.

Each order is sent to one control machine after the other until it is acknowledged or given up; the next one
is sent only then. So an order that was given up may be in force until the next one is acknowledged, and never
again after it.
"""

from __future__ import annotations

import asyncio
import json
import time
from random import Random

from msgspec import Struct

from reedspoke.lab.fleet_emulator.http_messages import render_request
from reedspoke.lab.fleet_soak.operators import Addresses, call
from reedspoke.operator_cli.commands import STATUS_PATH

ZONE = "zone-b"  # other zones have workers of the same upstreams
EVACUATION_PATH = f"/reedspoke/evacuation/{ZONE}"
EVACUATE_S = 5.0  # within which an acknowledged order is obeyed
MERGE_S = 3.0  # within which all control machines have it
ACK_S = 5.0
GIVEN_UP = 0.3  # share of the calls without an acknowledgement after which the order is given up
PAUSE_S = (0.1, 1.5)
RETRY_S = 0.1


class ZoneOrderSent(Struct):
    """One order, and when it was acknowledged."""

    evacuated: bool
    acknowledged_at: float | None = None


class EvacuationOperator:
    """Owns the orders of a run, in the order in which they were sent."""

    def __init__(self, addresses: Addresses, seed: int) -> None:
        self.orders: list[ZoneOrderSent] = []
        self._addresses = addresses
        self._random = Random(seed)

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            await self.order(evacuated=self._random.random() < 0.5, gives_up=True)
            await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def order(self, *, evacuated: bool, gives_up: bool) -> ZoneOrderSent:
        """Send an order until it is acknowledged or given up, at the latest after ACK_S."""
        order = ZoneOrderSent(evacuated)
        self.orders.append(order)
        until = time.monotonic() + ACK_S
        number = self._random.randrange(len(self._addresses()))
        while time.monotonic() < until:
            if await self._is_acknowledged(order, number):
                order.acknowledged_at = time.monotonic()
                break
            if gives_up and self._random.random() < GIVEN_UP:
                break
            number += 1
            await asyncio.sleep(RETRY_S)
        return order

    async def _is_acknowledged(self, order: ZoneOrderSent, number: int) -> bool:
        address = self._addresses()[number % len(self._addresses())]
        method = "POST" if order.evacuated else "DELETE"
        answer = await call(address, render_request(method, EVACUATION_PATH, {"Host": address}))
        return answer is not None and answer.status == 200

    def possible_effects(self) -> set[bool]:
        """Whether the zone may be evacuated now, by all that is known of the orders."""
        acknowledged = [index for index, order in enumerate(self.orders) if order.acknowledged_at is not None]
        since = acknowledged[-1] if acknowledged else 0
        effects = {order.evacuated for order in self.orders[since:]}
        return effects if acknowledged else effects | {False}

    async def shown(self) -> set[bool | None]:
        """Whether the zone is evacuated, as the control machines say; None without an answer."""
        return {await self._shown_at(address) for address in self._addresses()}

    async def _shown_at(self, address: str) -> bool | None:
        answer = await call(address, render_request("GET", STATUS_PATH, {"Host": address}))
        if answer is None or answer.status != 200:
            return None
        zones: list[str] | None = json.loads(answer.body)["evacuated"]
        return None if zones is None else ZONE in zones

    async def problems_at_the_end(self) -> list[str]:
        """All machines show the same, and what may be in force; nothing has been wrong for a while."""
        possible = self.possible_effects()
        until = time.monotonic() + MERGE_S
        while True:
            shown = await self.shown()
            if len(shown) == 1 and shown <= possible:
                return []
            if time.monotonic() > until:
                return [f"the zone is evacuated: {shown}, not {possible}, after {self.orders[-3:]}"]
            await asyncio.sleep(RETRY_S)

    def counts(self) -> dict[str, int]:
        """How many orders there were, and how many of them were acknowledged."""
        acknowledged = sum(order.acknowledged_at is not None for order in self.orders)
        return {"orders": len(self.orders), "acknowledged": acknowledged}
