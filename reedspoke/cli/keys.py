"""`reedspoke keys` and `reedspoke token`: signing keys and tokens for tests and small installations."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

import click

FOLDER = click.option(
    "--store", "folder", type=click.Path(file_okay=False), required=True, envvar="REEDSPOKE_KEYS",
    help="Folder of the keys, made with mode 0700. Also $REEDSPOKE_KEYS.",
)  # fmt: skip
PASSPHRASE = click.option(
    "--passphrase-file",
    type=click.Path(dir_okay=False),
    help="Private keys are encrypted with its first line.",
)


def now() -> int:
    return time.time_ns() // 1000


class Span(click.ParamType[int]):
    """A duration with its unit, as us."""

    name = "duration"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        from reedspoke.units import parse_microseconds

        if isinstance(value, int):
            return value
        try:
            return parse_microseconds(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


def signer(folder: str, passphrase_file: str | None) -> Any:
    from reedspoke.identity.signing import Signer
    from reedspoke.tls.store import Store, StoreError

    try:
        first = Path(passphrase_file).read_text().splitlines() if passphrase_file else [""]
        return Signer(Store(folder), first[0] if first else "")
    except OSError as error:
        raise click.ClickException(f"{passphrase_file}: {error.strerror}") from None
    except StoreError as error:
        raise click.ClickException(str(error).replace("tls.store", "--store")) from None


class Told(click.Group):
    """Errors of the keys as one line."""

    def invoke(self, ctx: click.Context) -> Any:
        from reedspoke.identity.signing import SigningError

        try:
            return super().invoke(ctx)
        except SigningError as error:
            raise click.ClickException(error.one_line()) from None


@click.group(cls=Told)
@FOLDER
@PASSPHRASE
@click.pass_context
def keys(context: click.Context, folder: str, passphrase_file: str | None) -> None:
    """Signing keys: generate, list, rotate, retire, and the key set for schedulers."""
    context.obj = signer(folder, passphrase_file)


@keys.command()
@click.option(
    "--algorithm", type=click.Choice(["ES256", "Ed25519", "RS256"]), default="ES256", show_default=True
)
@click.option("--announce", type=Span(), default="0s", show_default=True, help="It counts from then on.")
@click.pass_obj
def generate(obj: Any, algorithm: str, announce: int) -> None:
    """Make a key; its kid is printed."""
    click.echo(obj.generate(algorithm, now() + announce).kid)


@keys.command("list")
@click.pass_obj
def list_(obj: Any) -> None:
    """All keys and how each stands."""
    for one in obj.entries():
        state = "leaked" if one.leaked else one.validity().state(now()).value
        click.echo(f"{one.kid:<16} {one.algorithm:<8} {state}")


@keys.command()
@click.option("--announce", type=Span(), default="5m", show_default=True, help="Until the new one counts.")
@click.option(
    "--overlap", type=Span(), default="1d", show_default=True, help="That the old one counts beyond."
)
@click.pass_obj
def rotate(obj: Any, announce: int, overlap: int) -> None:
    """Make the key that follows the one in use; its kid is printed."""
    click.echo(obj.rotate(now(), announce, overlap).kid)


@keys.command()
@click.argument("kid")
@click.option("--overlap", type=Span(), default="0s", show_default=True)
@click.option("--leaked", is_flag=True, help="It is refused at once, wherever the key set is read.")
@click.pass_obj
def retire(obj: Any, kid: str, overlap: int, leaked: bool) -> None:
    """Retire KID."""
    obj.retire(kid, now(), overlap, leaked=leaked)


@keys.command()
@click.option("--out", type=click.Path(dir_okay=False), help="Written whole or not at all; else stdout.")
@click.pass_obj
def jwks(obj: Any, out: str | None) -> None:
    """The public key set, for `identity.issuers[].keys_file`."""
    data = obj.jwks(now())
    if out is None:
        click.echo(data.decode(), nl=False)
        return
    beside = f"{out}.{os.getpid()}.new"
    try:
        Path(beside).write_bytes(data)
        os.replace(beside, out)
    except OSError as error:
        raise click.ClickException(f"{out}: {error.strerror}") from None


@click.group(cls=Told)
def token() -> None:
    """Tokens for tests and small installations."""


@token.command()
@FOLDER
@PASSPHRASE
@click.option("--issuer", required=True)
@click.option("--subject", required=True)
@click.option("--audience", required=True)
@click.option("--life", type=Span(), default="5m", show_default=True)
@click.option("--kid", default="", help="Else the newest key in use.")
@click.option("--bound-to", default="", help="SHA-256 of a client certificate, base64url (RFC 8705).")
def issue(
    folder: str, passphrase_file: str | None, issuer: str, subject: str, audience: str, life: int, kid: str,
    bound_to: str,
) -> None:  # fmt: skip
    """Print a signed token."""
    from reedspoke.identity.signing import token_id

    at = now() // 1_000_000
    claims: dict[str, Any] = {
        "iss": issuer, "sub": subject, "aud": audience, "iat": at, "exp": at + life // 1_000_000,
        "jti": token_id(),
    }  # fmt: skip
    if bound_to:
        claims["cnf"] = {"x5t#S256": bound_to}
    click.echo(signer(folder, passphrase_file).issue(claims, now(), kid))


@token.command()
@click.argument("text", metavar="TOKEN")
@click.option("--jwks", "file", type=click.Path(dir_okay=False), required=True)
@click.option("--issuer", required=True)
@click.option("--audience", required=True)
def verify(text: str, file: str, issuer: str, audience: str) -> int:
    """Say whether a scheduler with this key set would believe TOKEN. Exit status 1: it would not."""
    from reedspoke.identity import token as tokens
    from reedspoke.identity.key_files import KeySetError, parse_key_set
    from reedspoke.identity.keys import KeySet
    from reedspoke.identity.signing import SIGNING_KEY_CLASSES
    from reedspoke.operator.types import TokenIssuer

    try:
        trusted = TokenIssuer("issuer", issuer, list(SIGNING_KEY_CLASSES), file)  # type: ignore[arg-type]
        key_set = KeySet(parse_key_set(Path(file).read_bytes(), trusted, file))
        claims = tokens.verify_token(text, key_set, tokens.TokenPolicy(audience), now())
    except OSError as error:
        raise click.ClickException(f"{file}: {error.strerror}") from None
    except KeySetError as error:
        raise click.ClickException(error.one_line()) from None
    except tokens.TokenRejectedError as error:
        click.echo(f"reedspoke: refused: {error.reason}", err=True)
        return 1
    click.echo(json.dumps({"issuer": claims.issuer, "subject": claims.subject, "kid": claims.kid}))
    return 0
