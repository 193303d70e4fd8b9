"""`reedspoke certs`: what is in the store, beside a process that runs or without one."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from reedspoke.operator.types import Authority, Operator
    from reedspoke.tls.certificate import Pair
    from reedspoke.tls.store import Store

REASONS = {"unspecified": 0, "key-compromise": 1, "affiliation-changed": 3, "superseded": 4, "cessation": 5}


class Place:
    """The operator file and its store."""

    def __init__(self, operator: Operator, store: Store) -> None:
        self.operator, self.store = operator, store

    def pair(self, name: str) -> Pair:
        from reedspoke.tls.certificate import UnfitError

        if name not in [one.name for one in self.operator.certificates]:
            raise click.UsageError(f"the operator file names no certificate {name!r}")
        try:
            found = self.store.load(name)
        except (UnfitError, OSError) as error:
            raise click.ClickException(f"{name}.pem: {error}") from None
        if found is None:
            raise click.ClickException(f"{name}: there is no certificate yet")
        return found

    def authority(self, name: str) -> Authority:
        for one in self.operator.acme.authorities if self.operator.acme else []:
            if one.name == name:
                return one
        raise click.UsageError(f"the operator file names no authority {name!r}")


@click.group()
@click.option(
    "--operator", "operator_file", type=click.Path(dir_okay=False), envvar="REEDSPOKE_OPERATOR",
    required=True, help="The operator file. Also $REEDSPOKE_OPERATOR.",
)  # fmt: skip
@click.pass_context
def certs(context: click.Context, operator_file: str) -> None:
    """List, show, renew and revoke certificates. Works beside a running scheduler."""
    from reedspoke.operator.check import OperatorError, load
    from reedspoke.tls.store import Store, StoreError

    try:
        operator = load(operator_file)
    except OperatorError as error:
        raise click.UsageError(error.one_line()) from None
    if operator.tls is None:
        raise click.UsageError(f"{operator_file}: tls: is missing, so there is no store")
    try:
        context.obj = Place(operator, Store(operator.tls.store))
    except StoreError as error:
        raise click.ClickException(error.one_line()) from None


def standing(place: Place, name: str, hosts: list[str]) -> dict[str, Any]:
    """One certificate as it lies in the store, for people and for scripts."""
    from reedspoke.acme.record import Record, unpacked
    from reedspoke.sealed import CorruptFileError
    from reedspoke.tls.certificate import UnfitError, fit

    now = time.time_ns() // 1000
    told: dict[str, Any] = {"name": name, "hosts": hosts, "state": "none", "ends": "", "left_s": 0.0}
    try:
        found = place.store.load(name)
        if found is not None:
            told["serial"], told["left_s"] = found.serial, round((found.ends - now) / 1e6, 1)
            told["ends"] = found.leaf.not_valid_after_utc.isoformat()
            told["state"] = "good"
            fit(found, hosts, now, 3_600_000_000)
    except (UnfitError, OSError) as error:
        told["state"], told["problem"] = "unfit", str(error)
    try:
        raw = place.store.read(f"{name}.order")
        if raw is not None:
            record = unpacked(raw, Record)
            told |= {"issuer": record.issuer, "order": bool(record.order), "failures": record.failures}
            if record.problem:
                told["problem"] = record.problem
    except (CorruptFileError, UnfitError, OSError) as error:
        told["problem"] = f"{name}.order: {error}"
    told["ordered_by"] = place.store.owner(name)
    return told


@certs.command("list")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_obj
def list_(place: Place, as_json: bool) -> int:
    """All certificates of the operator file. Exit status 1 where one is missing or unfit."""
    rows = [standing(place, one.name, list(one.hosts)) for one in place.operator.certificates]
    if as_json:
        click.echo(json.dumps(rows, indent=2))
    else:
        for row in rows:
            busy = f", process {row['ordered_by']} orders it" if row["ordered_by"] else ""
            click.echo(
                f"{row['name']:<20} {row['state']:<6} {row['ends'] or '-':<26} "
                f"{', '.join(row['hosts'])}{busy}" + (f" ({row['problem']})" if row.get("problem") else "")
            )
    return 0 if all(row["state"] == "good" for row in rows) else 1


@certs.command()
@click.argument("name")
@click.pass_obj
def show(place: Place, name: str) -> None:
    """One certificate with its chain, and how its renewal stands. Never the key."""
    found = place.pair(name)
    hosts = next(list(one.hosts) for one in place.operator.certificates if one.name == name)
    click.echo(json.dumps(standing(place, name, hosts), indent=2))
    click.echo(found.chain_pem().decode(), nl=False)


@certs.command()
@click.argument("name")
@click.option(
    "--wait", default=60.0, show_default=True, help="Seconds to wait for the new one; 0: not at all."
)
@click.pass_obj
def renew(place: Place, name: str, wait: float) -> int:
    """Ask the running scheduler to renew NAME now. Exit status 1 where no new one came in time."""
    if name not in [one.name for one in place.operator.certificates]:
        raise click.UsageError(f"the operator file names no certificate {name!r}")
    if place.operator.acme is None:
        raise click.UsageError("the operator file has no acme: certificates are put into the store by hand")
    before = place.store.stamp(f"{name}.pem")
    try:
        place.store.write(f"{name}.wanted", b"")
    except OSError as error:
        raise click.ClickException(f"{name}.wanted: {error.strerror}") from None
    end = time.monotonic() + wait
    while time.monotonic() < end:
        if place.store.stamp(f"{name}.pem") != before:
            click.echo(f"{name}: renewed")
            return 0
        time.sleep(0.1)
    if not wait:
        return 0
    taken = place.store.stamp(f"{name}.wanted") == (0, 0)
    click.echo(
        f"reedspoke: {name}: no new certificate within {wait:g} s"
        + ("" if taken else ": no scheduler has taken the request up"),
        err=True,
    )
    return 1


@certs.command()
@click.argument("name")
@click.option("--reason", type=click.Choice(sorted(REASONS)), default="unspecified", show_default=True)
@click.option(
    "--authority", "authority_name", default="", help="Who has issued it; else as the store has it."
)
@click.confirmation_option(prompt="Clients will refuse it from now on. Revoke?")
@click.pass_obj
def revoke(place: Place, name: str, reason: str, authority_name: str) -> int:
    """Revoke NAME at its authority, and ask the running scheduler for a new one."""
    from reedspoke.acme.network import Caller
    from reedspoke.acme.words import Failed

    found = place.pair(name)
    told = standing(place, name, [])
    caller = Caller(place.authority(authority_name or told.get("issuer", "")), place.store)
    outcome = caller.run(lambda: caller.revoke(found.leaf, REASONS[reason]))
    if isinstance(outcome, Failed):
        raise click.ClickException(f"{name}: not revoked: {outcome.text}")
    place.store.write(f"{name}.wanted", b"")
    click.echo(f"{name}: revoked; a new one is asked for")
    return 0


@certs.command("roll-account")
@click.argument("authority_name", metavar="AUTHORITY")
@click.pass_obj
def roll_account(place: Place, authority_name: str) -> int:
    """A new key for the account at AUTHORITY; a running scheduler on this store takes it up."""
    from reedspoke.acme.network import Caller
    from reedspoke.acme.words import Failed

    caller = Caller(place.authority(authority_name), place.store)
    outcome = caller.run(caller.roll)
    if isinstance(outcome, Failed):
        raise click.ClickException(f"{authority_name}: the key stays: {outcome.text}")
    click.echo(f"{authority_name}: the account has a new key")
    return 0
