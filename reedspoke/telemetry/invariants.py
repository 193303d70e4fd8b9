"""Promises of the fleet as checks in the running code: each evaluation and each violation is counted by name.

A violation is counted, kept with what led to it, and reported; it never raises, so no process of a customer
ends by one. Tests, simulations and soak runs fail on any (`tests/conftest.py`, `lab/fleet_soak`).
`docs/promises.md` says which promise each invariant stands for.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

MOST_KEPT = 100  # violations that are kept with their facts


class Invariant(Enum):
    """The invariants by the names that logs and figures carry."""

    # data plane
    NOT_SENT_AGAIN = "not_sent_again"  # what may have run and may not be repeated is not sent again
    REFUSED_HAS_NOT_RUN = "refused_has_not_run"  # a promise not to have run is proven
    ONE_FINAL_ANSWER = "one_final_answer"  # each request gets one final answer
    ANSWER_IS_OWN = "answer_is_own"  # an answer passed on names its request
    SUCCESS_IS_SEALED = "success_is_sealed"  # a success that is passed on carries a worker's seal
    EVENTS_RISE = "events_rise"  # the ids of a stream's events rise over all its attempts
    DRAIN_OBEYED = "drain_obeyed"  # nothing goes to a worker long known to leave
    GONE_CLIENT_HOLDS_NOTHING = "gone_client_holds_nothing"  # no job is left of a client that has left
    IDLE_HOLDS_NOTHING = "idle_holds_nothing"  # without requests nothing is held
    DELIVERY_RISES = "delivery_rises"  # configuration and workers never go back in one life
    TENANT_IS_KEY_HOLDER = "tenant_is_key_holder"  # workers are told the holder of the key, never the key
    KEY_IS_CERTAIN = "key_is_certain"  # no key is served past the bound on its being taken away
    ATTEMPTS_BOUNDED = "attempts_bounded"  # no more attempts reach workers than the route allows
    MOST_WORKERS_ARE_USED = "most_workers_are_used"  # suspicions leave at least half of a service's workers

    # control plane
    READ_HAS_GRANT = "read_has_grant"  # operators are answered only with a majority's grant
    SEQUENCE_RISES = "sequence_rises"  # the committed sequence never goes back in one life
    VIEW_RISES = "view_rises"  # nor does the view
    ACKNOWLEDGED_IS_SYNCED = "acknowledged_is_synced"  # a member acknowledges only what is on its disk
    ONE_CHANGE_A_SEQUENCE = "one_change_a_sequence"  # what is committed at a sequence stays the same
    DUTY_HAS_LEASE = "duty_has_lease"  # a list is published only under the lease
    QUOTA_IS_CONSERVED = "quota_is_conserved"  # grants never exceed what a part of a quota was refilled with
    STATE_HAS_GRANT = "state_has_grant"  # sessions are told versions only with a majority's grant


class Violation(Struct, frozen=True):
    """One evaluation that found an invariant broken, with the facts around it."""

    invariant: Invariant
    facts: dict[str, object]


Report = Callable[[Violation], None]


class InvariantMonitor:
    """Counts evaluations and violations, and keeps the newest violations."""

    def __init__(self) -> None:
        self.evaluated: Counter[Invariant] = Counter()
        self.violated: Counter[Invariant] = Counter()
        self.kept: deque[Violation] = deque(maxlen=MOST_KEPT)
        self._report: Report | None = None

    def report_to(self, report: Report | None) -> None:
        """Call `report` at each violation from now on."""
        self._report = report

    def check(self, invariant: Invariant, holds: bool, **facts: object) -> bool:
        """Evaluate an invariant; whether it holds is returned. `facts` are kept where it does not."""
        self.evaluated[invariant] += 1
        if not holds:
            self._violate(Violation(invariant, facts))
        return holds

    def forget(self) -> list[Violation]:
        """Start counting violations anew; what was kept is returned."""
        kept = list(self.kept)
        self.kept.clear()
        self.violated.clear()
        return kept

    def _violate(self, violation: Violation) -> None:
        self.violated[violation.invariant] += 1
        self.kept.append(violation)
        if self._report is not None:
            self._report(violation)


monitor = InvariantMonitor()  # of this process
check = monitor.check
