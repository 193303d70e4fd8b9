"""No deployment is left out of the hunts before a landing without being named."""

from __future__ import annotations

from pathlib import Path

from tests.fleet_days.hunted import Site, hunted, lacking, sites_below


def entry(
    site: str, days: int, *, cmd: str = "hunt", rules: dict[str, int] | None = None
) -> dict[str, object]:
    return {"cmd": cmd, "site": site, "days": [{"rules": rules or {}} for _ in range(days)]}


def test_every_opened_deployment_is_looked_for(tmp_path: Path) -> None:
    for folder, name in (("sites", "small"), ("apart", "cut"), ("rollout", "later"), ("large", "big")):
        (tmp_path / folder).mkdir()
        for suffix in ("toml", "days"):
            (tmp_path / folder / f"{name}.{suffix}").touch()
    (tmp_path / "sites" / "example.toml").touch()  # without days of its own
    assert sites_below(tmp_path, ["rollout"]) == [Site("big", 10), Site("cut", 10), Site("small", 40)]


def test_days_add_up_and_the_newest_hunt_must_be_whole() -> None:
    sites = [Site("a", 10), Site("b", 10), Site("c", 10)]
    hunts = hunted(
        [
            entry("a", 6, rules={"LOST": 1}),
            entry("a", 6),
            entry("b", 12, rules={"LOST": 1}),
            entry("c", 20, cmd="score"),
        ]
    )
    assert lacking(sites, hunts) == ["b: the newest hunt broke a rule", "c: 0 of 10 days"]
