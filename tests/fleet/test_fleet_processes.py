"""Faults in a fleet of real processes, connected by the lab's relay and test doubles."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from reedspoke.cli.fleet import fleet
from reedspoke.lab.rig import DUTY, Rig, Scheduler

TIMEOUT_S = 15.0  # much longer than any step takes


async def until(condition: Callable[[], Any]) -> Any:
    async with asyncio.timeout(TIMEOUT_S):
        while not (found := condition()):
            await asyncio.sleep(0.02)
        return found


def run_scenario(
    folder: Path, scenario: Callable[[Rig], Coroutine[Any, Any, None]], held: bool = False
) -> Rig:
    rig = Rig(folder, 5, 3, held=held)

    async def run() -> None:
        await rig.open()
        try:
            await scenario(rig)
        finally:
            rig.statuses = await rig.close()  # type: ignore[attr-defined]

    asyncio.run(run())
    assert rig.watcher.two_holders == 0
    assert rig.registry.stale_accepted() == 0
    assert rig.tally.lost == rig.tally.wrong == 0
    assert rig.fleet.ledger.unsafe_twice == 0
    assert rig.faults_told() == 0
    return rig


def tokens(rig: Rig) -> list[int]:
    return sorted({act.token for act in rig.registry.acts})


def test_calls_of_a_holder_stopped_for_longer_than_its_lease_are_rejected(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        first.registry.stall()  # delays its calls from here on
        await asyncio.sleep(0.3)
        rig.stop(first)
        await until(lambda: len(tokens(rig)) > 1)
        rig.resume(first)
        first.registry.resume()
        await until(rig.registry.stale_refused)

    assert len(tokens(run_scenario(tmp_path, scenario))) >= 2


def test_a_planned_restart_transfers_the_role_at_once(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        assert await rig.replace(first) == 0
        acts = [act for act in rig.registry.acts if act.accepted]
        last = max(act.when for act in acts if act.holder == f"n{first.number}")
        following = [act.when for act in acts if act.holder != f"n{first.number}" and act.when > last]
        assert following
        assert min(following) - last < 0.8 * rig.term, "the lease was released before its expiry"

    run_scenario(tmp_path, scenario)


def test_an_upgrade_of_the_holder_leaves_one_holder(tmp_path: Path) -> None:
    """During an upgrade two processes share a member number and an address.

    The new one must not be taken for the holder.
    """

    async def scenario(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        before = tokens(rig)[-1]
        assert await first.program.upgrade() == 0
        rig.watcher.dead(first.number, time.monotonic())
        await until(lambda: tokens(rig)[-1] > before)
        assert not rig.registry.stale_refused()

    run_scenario(tmp_path, scenario, held=True)


def test_a_minority_holds_no_role_and_reports_it_to_operators(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        first = await until(rig.holder)
        cut_links = {(a, b) for a in range(3) for b in range(3) if a != b and first.number in (a, b)}
        rig.relay.cuts |= cut_links
        await until(lambda: rig.holder() not in (None, first))
        door = f"127.0.0.1:{first.program.door}"

        def status() -> Any:
            return CliRunner().invoke(fleet, ["status", "--door", door, "--json"], standalone_mode=False)

        while (await asyncio.to_thread(status)).return_value == 0:
            await asyncio.sleep(0.2)
        arguments = [word for one in rig.schedulers for word in ("--door", f"127.0.0.1:{one.program.door}")]
        views = await asyncio.to_thread(
            CliRunner().invoke, fleet, ["compare", *arguments], standalone_mode=False
        )
        assert views.return_value == 1
        assert f"{door}: no majority" in views.output
        assert "held by" not in views.output
        (duty,) = json.loads((await asyncio.to_thread(status)).output)["duties"]
        assert duty["last_ended_here"] == "ran out"
        assert (await first.program.call("GET", "/v1/metrics"))[1].count("scheduler_fleet_majority 0") == 1
        assert "no majority of the lease voters is reachable" in first.program.log.read_text()

    run_scenario(tmp_path, scenario)


def test_an_operator_transfers_a_role(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        other, third = rig.schedulers[(first.number + 1) % 3], rig.schedulers[(first.number + 2) % 3]

        def release(one: Scheduler, to: int) -> Any:
            arguments = ["release", DUTY, "--door", f"127.0.0.1:{one.program.door}", "--to", str(to)]
            return CliRunner().invoke(fleet, arguments)

        assert (await asyncio.to_thread(release, other, third.number)).exit_code == 1
        assert (await asyncio.to_thread(release, first, 77)).exit_code == 1
        assert "released" in (await asyncio.to_thread(release, first, third.number)).output
        await until(lambda: rig.registry.acts[-1].holder != f"n{first.number}")
        assert rig.registry.acts[-1].holder == f"n{third.number}"
        assert (await first.program.call("POST", "/v1/fleet/unheard-of/release"))[0] == 404

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["silent", "gone", "old"])
def test_a_failing_agent_causes_no_lost_job(fault: str, tmp_path: Path) -> None:
    """If the agent is also unavailable at a start, the worker list of the configuration is used."""

    async def scenario(rig: Rig) -> None:
        one = rig.schedulers[0]
        one.agent.turn(fault)
        await asyncio.sleep(1.0)
        rig.kill(one)
        await rig.restart(one, 0.1)
        legs = rig.fleet.ledger.legs
        await until(lambda: rig.fleet.ledger.legs > legs + 30)
        one.agent.turn("serving")
        watches = one.agent.watches
        if fault != "old":
            await until(lambda: one.agent.watches > watches)

    rig = run_scenario(tmp_path, scenario)
    assert rig.tally.served > 30
