"""Faults with several real processes of the program, and the lab's relay and stand-ins between them."""

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

TIMEOUT_S = 15.0  # far more than anything here takes


async def until(condition: Callable[[], Any]) -> Any:
    async with asyncio.timeout(TIMEOUT_S):
        while not (found := condition()):
            await asyncio.sleep(0.02)
        return found


def played(folder: Path, play: Callable[[Rig], Coroutine[Any, Any, None]], held: bool = False) -> Rig:
    rig = Rig(folder, 5, 3, held=held)

    async def run() -> None:
        await rig.open()
        try:
            await play(rig)
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


def test_a_holder_stopped_mid_act_for_longer_than_its_lease_is_refused(tmp_path: Path) -> None:
    async def play(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        first.registry.stall()  # what it sends from here on lies on the way
        await asyncio.sleep(0.3)
        rig.stop(first)
        await until(lambda: len(tokens(rig)) > 1)
        rig.resume(first)
        first.registry.resume()
        await until(rig.registry.stale_refused)

    assert len(tokens(played(tmp_path, play))) >= 2


def test_a_planned_restart_hands_the_role_over_at_once(tmp_path: Path) -> None:
    async def play(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        assert await rig.replace(first) == 0
        acts = [act for act in rig.registry.acts if act.accepted]
        last = max(act.when for act in acts if act.holder == f"n{first.number}")
        following = [act.when for act in acts if act.holder != f"n{first.number}" and act.when > last]
        assert following
        assert min(following) - last < 0.8 * rig.term, "the lease was released and did not expire"

    played(tmp_path, play)


def test_an_upgrade_beside_the_holder_leaves_one_holder(tmp_path: Path) -> None:
    """For a while two processes have one number and one address: the new one must not pass for the holder."""

    async def play(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        before = tokens(rig)[-1]
        assert await first.program.upgrade() == 0
        rig.watcher.dead(first.number, time.monotonic())
        await until(lambda: tokens(rig)[-1] > before)
        assert not rig.registry.stale_refused()

    played(tmp_path, play, held=True)


def test_a_minority_holds_nothing_and_reports_it_to_operators(tmp_path: Path) -> None:
    async def play(rig: Rig) -> None:
        first = await until(rig.holder)
        ways = {(a, b) for a in range(3) for b in range(3) if a != b and first.number in (a, b)}
        rig.relay.cuts |= ways
        await until(lambda: rig.holder() not in (None, first))
        door = f"127.0.0.1:{first.program.door}"

        def status() -> Any:
            return CliRunner().invoke(fleet, ["status", "--door", door, "--json"], standalone_mode=False)

        while (await asyncio.to_thread(status)).return_value == 0:
            await asyncio.sleep(0.2)
        words = [word for one in rig.schedulers for word in ("--door", f"127.0.0.1:{one.program.door}")]
        views = await asyncio.to_thread(CliRunner().invoke, fleet, ["compare", *words], standalone_mode=False)
        assert views.return_value == 1
        assert f"{door}: no majority" in views.output
        assert "held by" not in views.output
        (duty,) = json.loads((await asyncio.to_thread(status)).output)["duties"]
        assert duty["last_ended_here"] == "ran out"
        assert (await first.program.call("GET", "/v1/metrics"))[1].count("scheduler_fleet_majority 0") == 1
        assert "no majority of the lease voters is reachable" in first.program.log.read_text()

    played(tmp_path, play)


def test_an_operator_hands_a_role_over(tmp_path: Path) -> None:
    async def play(rig: Rig) -> None:
        first = await until(rig.holder)
        await until(lambda: rig.registry.acts)
        other, third = rig.schedulers[(first.number + 1) % 3], rig.schedulers[(first.number + 2) % 3]

        def release(one: Scheduler, to: int) -> Any:
            words = ["release", DUTY, "--door", f"127.0.0.1:{one.program.door}", "--to", str(to)]
            return CliRunner().invoke(fleet, words)

        assert (await asyncio.to_thread(release, other, third.number)).exit_code == 1
        assert (await asyncio.to_thread(release, first, 77)).exit_code == 1
        assert "released" in (await asyncio.to_thread(release, first, third.number)).output
        await until(lambda: rig.registry.acts[-1].holder != f"n{first.number}")
        assert rig.registry.acts[-1].holder == f"n{third.number}"
        assert (await first.program.call("POST", "/v1/fleet/unheard-of/release"))[0] == 404

    played(tmp_path, play)


@pytest.mark.parametrize("mood", ["silent", "gone", "old"])
def test_an_agent_that_fails_takes_no_job_with_it(mood: str, tmp_path: Path) -> None:
    """Gone or silent also at a start: the list in the configuration serves."""

    async def play(rig: Rig) -> None:
        one = rig.schedulers[0]
        one.agent.turn(mood)
        await asyncio.sleep(1.0)
        rig.kill(one)
        await rig.restart(one, 0.1)
        legs = rig.fleet.ledger.legs
        await until(lambda: rig.fleet.ledger.legs > legs + 30)
        one.agent.turn("serving")
        watches = one.agent.watches
        if mood != "old":
            await until(lambda: one.agent.watches > watches)

    rig = played(tmp_path, play)
    assert rig.tally.served > 30
