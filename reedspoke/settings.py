"""The settings object of the platform, as the simulator's wire and a node's configuration both hold it.

Translated into the module's words for the adapter and the node alike.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from msgspec import Struct

from reedspoke import interface as api
from reedspoke.errors import ReedspokeError

EFFECTS = {
    "pure": api.Idempotency.SAFE,
    "token": api.Idempotency.KEYED,
    "side_effect": api.Idempotency.UNSAFE,
}
GROUPS = {group.value: group for group in api.DedupScope}
DISCOVERY = {"pushed": False, "on_request": True}
WORTH_BY = {"work": True, "request": False}
REPORT_HOW = {"answers": True, "probe": False, "none": False}
REPORT_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


class UnknownValueError(ReedspokeError, ValueError):
    """One of the platform's words has no meaning here; the text names it."""

    code = "word-unknown"
    remedy = "the platform says a word that this version does not know: see the settings' field"


# ---- the object's shape; msgspec checks presence and type of each field and skips unknown ones ----


class Category(Struct):
    name: str
    repeat: str
    hard_limit: int
    aim: int
    importance: float
    group: str = "all"
    window: int = 0
    aim_stretch: float | None = None
    late_share: float = 0.0
    streaming: bool = False


class Ceilings(Struct):
    try_limit: int
    cancelling: bool = False
    probes: bool = False
    peer_messages: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    connect_timeout: int = 0
    conn_idle: int = 0


class Safety(Struct):
    drain_grace: int
    answer_slack: int
    cold_from: float
    warm_up: int
    tip_multiple: float
    fall: int
    ask_within: int = 0


class Tenant(Struct):
    name: str
    portion: float


class FamilyInfo(Struct):
    class_kind: list[int] = []
    class_stretch: list[float] = []
    tells_start: bool = False
    progress: int = 0


class Report(Struct):
    how: str = "none"
    names: list[str] = []


class Deductions(Struct):
    cross_zone: float = 0.0


class PlatformSettings(Struct):
    balancers: int
    categories: list[Category]
    ceilings: Ceilings
    discovery: str
    me: int
    safety: Safety
    zone: str
    resolution: int
    worth_by: str = "request"
    tenants: list[Tenant] = []
    flavors: list[str] = []
    family_info: FamilyInfo = msgspec.field(default_factory=FamilyInfo)
    report: Report = msgspec.field(default_factory=Report)
    deductions: Deductions = msgspec.field(default_factory=Deductions)


T = TypeVar("T")


def lookup(table: dict[str, T], word: str, field: str) -> T:
    """The meaning of one of the platform's words."""
    try:
        return table[word]
    except KeyError:
        raise UnknownValueError(f"field `{field}` has an unknown value {word!r}") from None


def class_settings(index: int, told: Category, family: FamilyInfo) -> api.ClassSettings:
    stretch = told.aim_stretch
    if stretch is None:
        stretch = family.class_stretch[index] if index < len(family.class_stretch) else 0.0
    return api.ClassSettings(
        name=told.name,
        idempotency=lookup(EFFECTS, told.repeat, "repeat"),
        dedup_scope=lookup(GROUPS, told.group, "group"),
        dedup_window=told.window,
        latency_target=told.aim,
        stretch=stretch,
        deadline=told.hard_limit,
        value=told.importance,
        late_value_share=told.late_share,
        worker_kind=family.class_kind[index] if index < len(family.class_kind) else -1,
        streaming=told.streaming,
    )


def convert_settings(info: PlatformSettings) -> api.Settings:
    """The platform's settings in the module's words."""
    return api.Settings(
        scheduler_index=info.me,
        scheduler_count=info.balancers,
        zone=info.zone,
        classes=tuple(class_settings(i, told, info.family_info) for i, told in enumerate(info.categories)),
        tenants=tuple(api.TenantSettings(told.name, told.portion) for told in info.tenants),
        worker_kinds=tuple(info.flavors),
        limits=api.Limits(
            max_attempts=info.ceilings.try_limit,
            can_cancel=info.ceilings.cancelling,
            can_probe=info.ceilings.probes,
            peer_messages=info.ceilings.peer_messages,
            max_retry_after=info.ceilings.max_retry_after if info.ceilings.retry_after else 0,
            connect_timeout=info.ceilings.connect_timeout,
        ),
        rules=api.Rules(
            drain_grace=info.safety.drain_grace,
            answer_slack=info.safety.answer_slack,
            list_request_within=info.safety.ask_within,
            cold_min_share=info.safety.cold_from,
            warm_up_time=info.safety.warm_up,
            overload_multiple=info.safety.tip_multiple,
            overload_window=info.safety.fall,
        ),
        min_event_interval=info.resolution,
        list_on_request=lookup(DISCOVERY, info.discovery, "discovery"),
        reports_start=info.family_info.tells_start,
        progress_interval=info.family_info.progress,
        report_fields=tuple(REPORT_NAMES.get(name, name) for name in info.report.names),
        report_in_answers=lookup(REPORT_HOW, info.report.how, "how"),
        value_by_work=lookup(WORTH_BY, info.worth_by, "worth_by"),
        cross_zone_cost=info.deductions.cross_zone,
    )
