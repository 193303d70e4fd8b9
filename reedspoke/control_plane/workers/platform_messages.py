"""The platform's list of workers as its API returns it, and its conversion to the fleet's message types.

Names, fields and docstrings of the `Platform` classes are published in `openapi/worker.json`.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from reedspoke.common.messages import WorkerEntry

STATE_DRAINING = "draining"


class PlatformModel(Struct, frozen=True):
    """A model that a worker has in memory."""

    name: str


class PlatformInstance(Struct, frozen=True):
    """A worker as the platform has it."""

    instance_id: str
    upstream: str
    address: str
    zone: str = ""
    generation: str = ""
    capacity: int = 1
    state: str = "up"
    cold_left_ms: float = 0.0
    models: tuple[PlatformModel, ...] | None = None


class PlatformPage(Struct, frozen=True):
    """One answer of the platform's list."""

    instances: tuple[PlatformInstance, ...]
    next_token: str | None = None


_PAGE_DECODER = msgspec.json.Decoder(PlatformPage)


def parse_page(body: bytes) -> PlatformPage:
    """Parse a page of the list from JSON. Raises msgspec.DecodeError if the body is not a valid page."""
    return _PAGE_DECODER.decode(body)


def worker_entry(instance: PlatformInstance) -> WorkerEntry:
    """Convert a worker to the entry that the fleet's messages carry."""
    return WorkerEntry(
        instance_id=instance.instance_id,
        upstream=instance.upstream,
        address=instance.address,
        zone=instance.zone,
        generation=instance.generation,
        capacity=instance.capacity,
        draining=instance.state == STATE_DRAINING,
        cold_left_ms=instance.cold_left_ms,
        models=tuple(model.name for model in instance.models or ()),
    )


def merge_pages(pages: list[PlatformPage]) -> tuple[WorkerEntry, ...]:
    """Return the workers of all pages, sorted by id.

    A later page overrides an earlier one for the same id.
    """
    newest = {instance.instance_id: instance for page in pages for instance in page.instances}
    return tuple(worker_entry(newest[instance_id]) for instance_id in sorted(newest))
