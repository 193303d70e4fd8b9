"""What the operator file says of one certificate's renewal. Times are us."""

from __future__ import annotations

from dataclasses import dataclass

from reedspoke.acme.plan import Policy


@dataclass(slots=True, frozen=True)
class Authority:
    """A certificate authority as the operator file has it."""

    name: str
    tries_a_day: int
    call_timeout: int


@dataclass(slots=True, frozen=True)
class RenewalSettings:
    """What holds for all certificates."""

    policy: Policy
    first_backoff: int
    longest_backoff: int
    first_poll_interval: int  # between two looks at an order
    order_timeout: int  # after which an order that is not done is given up
    challenge_timeout: int  # for a challenge command
    use_ari: bool = True  # ask the authority for its renewal window (RFC 9773)


@dataclass(slots=True, frozen=True)
class CertificateRequest:
    """A certificate that is to be kept in force."""

    name: str
    hosts: tuple[str, ...]
    challenge: str
    authorities: tuple[Authority, ...]

    def authority(self, name: str) -> Authority | None:
        """The authority of this name, if the operator file still has it for this certificate."""
        return next((authority for authority in self.authorities if authority.name == name), None)
