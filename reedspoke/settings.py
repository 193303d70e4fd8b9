"""The settings object of the platform, which the simulator's protocol and a node's configuration contain.

It is converted to the decision module's settings, for the adapter and the node alike. The field names are the
keys of the object.
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
    """A value of the platform is unknown to this version; the text names the field and the value."""

    code = "word-unknown"
    remedy = "this version does not know a value of the platform: check the field that the message names"


# ---- the settings object; msgspec checks presence and type of each field and skips unknown ones ----


class Category(Struct):
    """A job class: how a job may be repeated, its latency target and its deadline."""

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
    """Limits, and the optional features of the platform that a scheduler may use."""

    try_limit: int
    cancelling: bool = False
    probes: bool = False
    peer_messages: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    connect_timeout: int = 0
    conn_idle: int = 0


class Safety(Struct):
    """Rules for draining, cold workers and overload."""

    drain_grace: int
    answer_slack: int
    cold_from: float
    warm_up: int
    tip_multiple: float
    fall: int
    ask_within: int = 0


class Tenant(Struct):
    """A tenant and its share."""

    name: str
    portion: float


class FamilyInfo(Struct):
    """What holds for the scenario family: worker kind and stretch of each class, and notifications."""

    class_kind: list[int] = []
    class_stretch: list[float] = []
    tells_start: bool = False
    progress: int = 0


class Report(Struct):
    """How workers report their load, and the fields of a report."""

    how: str = "none"
    names: list[str] = []


class Deductions(Struct):
    """Costs that reduce the value of a job."""

    cross_zone: float = 0.0


class PlatformSettings(Struct):
    """The whole settings object."""

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


def lookup(table: dict[str, T], value: str, field: str) -> T:
    """Look up a value of the platform. Raises UnknownValueError."""
    try:
        return table[value]
    except KeyError:
        raise UnknownValueError(f"field `{field}` has an unknown value {value!r}") from None


def class_settings(index: int, category: Category, family: FamilyInfo) -> api.ClassSettings:
    """Convert a job class; `index` is its place among the classes."""
    stretch = category.aim_stretch
    if stretch is None:
        stretch = family.class_stretch[index] if index < len(family.class_stretch) else 0.0
    return api.ClassSettings(
        name=category.name,
        idempotency=lookup(EFFECTS, category.repeat, "repeat"),
        dedup_scope=lookup(GROUPS, category.group, "group"),
        dedup_window=category.window,
        latency_target=category.aim,
        stretch=stretch,
        deadline=category.hard_limit,
        value=category.importance,
        late_value_share=category.late_share,
        worker_kind=family.class_kind[index] if index < len(family.class_kind) else -1,
        streaming=category.streaming,
    )


def convert_settings(info: PlatformSettings) -> api.Settings:
    """Convert the platform's settings to those of the decision module. Raises UnknownValueError."""
    return api.Settings(
        scheduler_index=info.me,
        scheduler_count=info.balancers,
        zone=info.zone,
        classes=tuple(
            class_settings(i, category, info.family_info) for i, category in enumerate(info.categories)
        ),
        tenants=tuple(api.TenantSettings(tenant.name, tenant.portion) for tenant in info.tenants),
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
