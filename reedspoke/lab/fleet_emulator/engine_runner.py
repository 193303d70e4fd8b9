"""Runs an engine model in real time inside the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.lab.fleet_emulator.engine import EngineModel, EngineProfile, GenerationJob, Step


class JobHandle:
    """A submitted job; `events` gets the id of each event when its last token is there."""

    def __init__(self, job: GenerationJob, on_started: Callable[[], None]) -> None:
        self.job = job
        self.on_started = on_started
        self.events: asyncio.Queue[int] = asyncio.Queue()


class EngineRunner:
    """Steps the model for as long as it has work."""

    def __init__(self, profile: EngineProfile) -> None:
        self.model = EngineModel(profile)
        self._handles: dict[int, JobHandle] = {}
        self._task: asyncio.Task[None] | None = None

    def submit(self, job: GenerationJob, on_started: Callable[[], None]) -> JobHandle | None:
        """None where the worker is full."""
        if not self.model.submit(job):
            return None
        handle = JobHandle(job, on_started)
        self._handles[id(job)] = handle
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return handle

    def withdraw(self, handle: JobHandle) -> None:
        """The job is over or nobody waits for it any more."""
        self.model.remove(handle.job)
        self._handles.pop(id(handle.job), None)

    def stop(self) -> None:
        """Stop at once; what runs stays as it is."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while self.model.busy:
            step = self.model.step()
            await asyncio.sleep(step.duration_s)
            self._deliver(step)

    def _deliver(self, step: Step) -> None:
        for job in step.started:
            handle = self._handles.get(id(job))
            if handle is not None:
                handle.on_started()
        stride = self.model.profile.stride
        for job in step.advanced:
            handle = self._handles.get(id(job))
            if handle is not None and (job.finished or job.produced % stride == 0):
                handle.events.put_nowait(-(-job.produced // stride))
