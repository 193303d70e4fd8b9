"""Guarantees of the fleet as checks in the running code: evaluations and violations are counted by name.

A violation is counted, recorded with the facts around it, and reported; it never raises, so it ends no
process in service. Tests, simulations and soak runs fail on any (`tests/conftest.py`, `lab/fleet_soak`).
`docs/promises.md` says which guarantee each invariant stands for. The monitor of a process, `monitor`, is
the sole owner of the counts.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

MAX_RECORDED_VIOLATIONS = 100  # with their facts; all are counted


class Invariant(Enum):
    """The invariants; the values are their names in logs and metrics."""

    # data plane
    NOT_SENT_AGAIN = "not_sent_again"  # a request that may have run and is not idempotent is not retried
    REFUSED_HAS_NOT_RUN = "refused_has_not_run"  # an answer that claims the request has not run is proven
    ONE_FINAL_ANSWER = "one_final_answer"  # each request gets one final answer
    ANSWER_IS_OWN = "answer_is_own"  # an answer passed on names its request
    SUCCESS_IS_SEALED = "success_is_sealed"  # a success that is passed on carries a worker's seal
    EVENTS_RISE = "events_rise"  # the ids of a stream's events rise over all its attempts
    DRAIN_OBEYED = "drain_obeyed"  # no request goes to a worker long known to drain
    GONE_CLIENT_HOLDS_NOTHING = "gone_client_holds_nothing"  # a client that has left has no request in flight
    IDLE_HOLDS_NOTHING = "idle_holds_nothing"  # without requests nothing is reserved
    DELIVERY_RISES = "delivery_rises"  # configuration and workers never go back within a process
    TENANT_IS_KEY_HOLDER = "tenant_is_key_holder"  # workers receive the owner of the key, never the key
    KEY_IS_CERTAIN = "key_is_certain"  # a revoked key is not served past the limit
    ATTEMPTS_BOUNDED = "attempts_bounded"  # no more attempts reach workers than the route allows
    MOST_WORKERS_ARE_USED = "most_workers_are_used"  # suspicions leave at least half of a service's workers

    # control plane
    READ_HAS_GRANT = "read_has_grant"  # operators are answered only with a majority's grant
    SEQUENCE_RISES = "sequence_rises"  # the committed sequence never goes back within a process
    VIEW_RISES = "view_rises"  # nor does the view
    ACKNOWLEDGED_IS_SYNCED = "acknowledged_is_synced"  # a member acknowledges only what is on its disk
    ONE_CHANGE_A_SEQUENCE = "one_change_a_sequence"  # what is committed at a sequence stays the same
    DUTY_HAS_LEASE = "duty_has_lease"  # a list is published only under the lease
    QUOTA_IS_CONSERVED = "quota_is_conserved"  # grants never exceed what a share of a quota was refilled with
    TALLY_COUNTS_ONCE = "tally_counts_once"  # a tally's total is the sum over its distinct ids
    TALLY_ACKNOWLEDGED_IS_COUNTED = (
        "tally_acknowledged_is_counted"  # an acknowledged add is read here, and safe
    )
    STATE_HAS_GRANT = "state_has_grant"  # sessions receive versions only with a majority's grant


class Violation(Struct, frozen=True):
    """One evaluation that found an invariant broken, with the facts around it."""

    invariant: Invariant
    facts: dict[str, object]


ViolationReporter = Callable[[Violation], None]


class InvariantMonitor:
    """Counts evaluations and violations, and records the newest violations."""

    def __init__(self) -> None:
        """Nothing has been evaluated yet, and nobody is notified."""
        self.evaluated: Counter[Invariant] = Counter()
        self.violated: Counter[Invariant] = Counter()
        self.recent_violations: deque[Violation] = deque(maxlen=MAX_RECORDED_VIOLATIONS)
        self._reporter: ViolationReporter | None = None

    def report_to(self, reporter: ViolationReporter | None) -> None:
        """Calls `reporter` at each violation from now on."""
        self._reporter = reporter

    def check(self, invariant: Invariant, holds: bool, **facts: object) -> bool:
        """Counts one evaluation and returns `holds`. `facts` are recorded where it is false."""
        self.evaluated[invariant] += 1
        if not holds:
            self._violate(Violation(invariant, facts))
        return holds

    def reset_violations(self) -> list[Violation]:
        """Forgets all violations and returns the recorded ones; evaluations stay counted."""
        recorded = list(self.recent_violations)
        self.recent_violations.clear()
        self.violated.clear()
        return recorded

    def _violate(self, violation: Violation) -> None:
        self.violated[violation.invariant] += 1
        self.recent_violations.append(violation)
        if self._reporter is not None:
            self._reporter(violation)


monitor = InvariantMonitor()  # of this process
check = monitor.check
