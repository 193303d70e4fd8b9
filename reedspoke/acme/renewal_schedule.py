"""When a certificate is renewed, and at which authority: what is known of it between its orders. No I/O."""

from __future__ import annotations

from dataclasses import replace

from reedspoke.acme import words
from reedspoke.acme.authority_choice import LimitsOf, choose_authority
from reedspoke.acme.plan import Life
from reedspoke.acme.record import Record
from reedspoke.acme.renewal_settings import Authority, CertificateRequest, RenewalSettings


class RenewalSchedule:
    """The request, the certificate in force, and the record that outlives the process."""

    def __init__(self, request: CertificateRequest, settings: RenewalSettings, limits: LimitsOf) -> None:
        """`limits`: what is remembered of an authority."""
        self.request, self.settings, self.limits = request, settings, limits
        self.record = Record(request.name)
        self.life: Life | None = None
        self.forced = False  # an operator asks for it now
        self._hosts_held: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        return self.request.name

    def resume(self, record: Record) -> None:
        """What an earlier process has left."""
        self.record = record
        self._heed_window()

    def held(self, found: words.Installed) -> None:
        """A certificate is in force, whoever got it."""
        self.life = Life(found.begins, found.ends, found.serial)
        self._heed_window()
        self._hosts_held = found.hosts

    def _heed_window(self) -> None:
        if self.life is not None:
            mine = self.record.window_of == self.life.serial
            # Guards against an authority whose windows always lie behind us: one renewal at once is enough.
            floor = self.life.begins + (self.life.ends - self.life.begins) // 10 if self.record.hurried else 0
            self.life = replace(self.life, window=self.record.window if mine else (0, 0), floor=floor)

    def covers(self) -> bool:
        """The certificate in force has all names that are wanted."""
        return self.life is not None and set(self.request.hosts) <= set(self._hosts_held)

    @property
    def life_in_force(self) -> Life | None:
        """Of the certificate in force, if it has all names."""
        return self.life if self.covers() else None

    def due(self) -> int:
        """When renewal begins, 0: at once."""
        life = self.life_in_force
        return 0 if life is None or self.forced else self.settings.policy.due(self.name, life)

    def urgency(self, now: int) -> int:
        """us until expiry; who has least goes first."""
        life = self.life_in_force
        return 0 if life is None else life.ends - now

    def waits(self, now: int) -> bool:
        """Nothing to do for now."""
        return now < self.due() or self.record.pause.left(now) > 0 or self.authority(now) is None

    def asks(self, now: int) -> bool:
        """Its issuer should be asked for the window."""
        if (
            not self.settings.use_ari
            or self.life is None
            or self.request.authority(self.record.issuer) is None
        ):
            return False
        fresh = self.record.window_of != self.life.serial
        return (fresh or now >= self.record.ask_at) and now < self.due()

    def authority(self, now: int) -> Authority | None:
        """The one to call next; None where none may be called now."""
        policy = self.settings.policy
        return choose_authority(self.request, self.record, self.limits, policy, self.life_in_force, now)
