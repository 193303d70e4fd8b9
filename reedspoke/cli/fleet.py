"""`reedspoke fleet`: who is alive, who holds which duty, and a duty handed on by hand."""

from __future__ import annotations

import json
from typing import Any

import click

DOOR = click.option(
    "--door", metavar="IP:PORT", envvar="PROXY_OPS", required=True,
    help="The operators' door of one scheduler. Also $PROXY_OPS.",
)  # fmt: skip


@click.group()
def fleet() -> None:
    """The schedulers of a fleet, as one of them sees it."""


def call(door: str, method: str, path: str) -> tuple[int, str]:
    """Status and text of one call at the door. Raises click.ClickException where nobody answers."""
    from http.client import HTTPConnection, HTTPException

    connection = HTTPConnection(door, timeout=5)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read().decode(errors="replace")
    except (OSError, HTTPException) as error:
        raise click.ClickException(f"{door}: {error}") from None
    finally:
        connection.close()


@fleet.command()
@DOOR
@click.option("--json", "as_json", is_flag=True, help="As the scheduler told it.")
def status(door: str, as_json: bool) -> int:
    """Members, who holds what, until when and with which token. Exit status 1 without a majority."""
    code, text = call(door, "GET", "/v1/fleet")
    if code != 200:
        raise click.ClickException(f"{door}: {text.strip()}: has it an operator file with a fleet?")
    told = json.loads(text)
    click.echo(text.strip() if as_json else table(told))
    return 0 if told["majority"] else 1


def table(told: dict[str, Any]) -> str:
    lines = [
        f"as scheduler {told['me']} sees it; majority of granters: {'yes' if told['majority'] else 'NO'}"
    ]
    if told["discord"]:
        lines.append(f"  OTHER ELECTORATE at {told['discord']}: no duty is held or granted meanwhile")
    for one in told["members"]:
        since = f" for {one['for_s']} s" if one["for_s"] is not None else ""
        lines.append(f"  scheduler {one['member']:<4} {one['is']}{since}")
    for one in told["duties"]:
        holder = "nobody" if one["holder"] is None else f"scheduler {one['holder']}"
        more = "" if one["token"] is None else f", token {one['token']}, {one['left_s']} s left at most"
        last = f"; ended here last: {one['last_ended_here']}" if one["last_ended_here"] else ""
        lines.append(f"  duty {one['duty']}: {holder}{more}{last}")
    return "\n".join(lines)


@fleet.command()
@click.option(
    "--door", "doors", metavar="IP:PORT", multiple=True, required=True, help="One for each scheduler."
)
def compare(doors: tuple[str, ...]) -> int:
    """Put several schedulers' views side by side. Exit status 1 where they contradict each other: two that
    hold one duty, a member that some hold for gone and others do not, another electorate, no answer."""
    views: dict[str, dict[str, Any]] = {}
    wrong: list[str] = []
    for door in doors:
        try:
            code, text = call(door, "GET", "/v1/fleet")
        except click.ClickException as error:
            wrong.append(error.format_message())
            continue
        if code == 200:
            views[door] = json.loads(text)
        else:
            wrong.append(f"{door}: {text.strip()}")
    wrong += contradictions(views)
    for line in wrong:
        click.echo(line, err=True)
    if not wrong:
        click.echo(f"{len(views)} schedulers agree")
    return 1 if wrong else 0


def contradictions(views: dict[str, dict[str, Any]]) -> list[str]:
    """In words, one line each; views come one after another: a hand-over meanwhile may show here once."""
    found: list[str] = []
    mine: dict[str, list[int]] = {}
    gone: dict[int, set[int]] = {}
    alive: dict[int, set[int]] = {}
    for door, view in views.items():
        if not view["majority"]:
            found.append(f"{door}: no majority of granters in reach")
        if view["discord"]:
            found.append(f"{door}: another electorate at {view['discord']}")
        for duty in view["duties"]:
            if duty["holder"] == view["me"]:
                mine.setdefault(duty["duty"], []).append(view["me"])
        for member in view["members"]:
            kind = {"gone": gone, "alive": alive}.get(member["is"])
            if kind is not None:
                kind.setdefault(member["member"], set()).add(view["me"])
    found += [f"duty {duty}: held by {holders}" for duty, holders in mine.items() if len(holders) > 1]
    found += [
        f"scheduler {member}: gone for {sorted(gone[member])}, alive for {sorted(alive[member])}"
        for member in sorted(gone.keys() & alive.keys())
    ]
    return found


@fleet.command()
def key() -> int:
    """Print a fresh key for fleet.key_file."""
    import secrets

    click.echo(secrets.token_hex(32))
    return 0


@fleet.command()
@click.argument("duty")
@DOOR
@click.option("--to", type=click.IntRange(0, 65535), help="The scheduler that shall have it next.")
def release(duty: str, door: str, to: int | None) -> int:
    """Hand DUTY on; ask the one that holds it. It is not asked for again there for two terms."""
    path = f"/v1/fleet/{duty}/release"
    code, text = call(door, "POST", path if to is None else f"{path}/{to}")
    if code != 200:
        raise click.ClickException(f"{door}: {text.strip()}")
    click.echo("released")
    return 0
