"""The queued jobs of one client of the fair queue, served in turns by subject.

A subject is the fairness key of a job: its tenant, or the last shared part of its prompt. Jobs of a subject
are served in order of arrival. The next subject is the one whose jobs have recently cost the least
(start-time fair queueing), so that a hot subject does not starve others. A subject without queued jobs is
dropped once the virtual time has passed its finish tag.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from heapq import nsmallest
from itertools import islice
from typing import Generic, TypeVar

JobT = TypeVar("JobT")

MAX_FINISH_TAGS = 1024  # Maximum number of subjects whose finish tag is kept.


class SubjectQueue(Generic[JobT]):
    """A queue of jobs, which are compared by identity; its `len` is the number of queued jobs."""

    def __init__(self) -> None:
        self._returned: deque[tuple[str, JobT]] = deque()  # Jobs to retry, which are served first.
        self._waiting: dict[str, deque[tuple[int, JobT]]] = {}
        self._finish_tags: OrderedDict[str, float] = OrderedDict()
        self._virtual_time = 0.0  # The tag of the subject that was served last.
        self._arrivals = 0
        self._length = 0
        self._front: str | None = None  # The subject of the head job, if known.

    def __len__(self) -> int:
        return self._length

    @property
    def tracked_subjects(self) -> int:
        """The number of subjects whose finish tag is kept."""
        return len(self._finish_tags)

    def push(self, subject: str, job: JobT) -> None:
        """Add a job."""
        self._arrivals += 1
        self._waiting.setdefault(subject, deque()).append((self._arrivals, job))
        self._length += 1
        self._front = None

    def push_head(self, subject: str, job: JobT) -> None:
        """Put a job back at the front, for another attempt."""
        self._returned.appendleft((subject, job))
        self._length += 1

    def head(self) -> JobT:
        """The next job to serve. Raises IndexError if the queue is empty."""
        if self._returned:
            return self._returned[0][1]
        return self._waiting[self._first_subject()][0][1]

    def heads(self, limit: int) -> list[JobT]:
        """The head job, and the jobs of the next subjects that may be served if the head has to wait."""
        found = [job for _, job in islice(self._returned, limit)]
        left = limit - len(found)
        if left == 1 and self._waiting:
            found.append(self._waiting[self._first_subject()][0][1])
        elif left > 1:
            subjects = nsmallest(left, self._waiting, key=self._order_key)
            found += [self._waiting[subject][0][1] for subject in subjects]
        return found

    def take(self, subject: str, job: JobT, cost: float) -> None:
        """Remove a job to serve it, and charge its subject. Raises ValueError if it is not queued."""
        turn = not self._returned and self.head() is job
        if not self.remove(subject, job):
            raise ValueError("the job is not in the queue")
        if turn:
            self._virtual_time = max(self._virtual_time, self._finish_tags.get(subject, 0.0))
        self._charge(subject, cost)

    def refund(self, subject: str, cost: float) -> None:
        """Refund the charge for a job that was taken but has not run."""
        if subject in self._finish_tags:
            self._finish_tags[subject] -= cost
            self._front = None

    def remove(self, subject: str, job: JobT) -> bool:
        """Remove a job from any place in the queue; False if it is not queued."""
        for index, (_, other) in enumerate(self._returned):
            if other is job:
                del self._returned[index]
                self._length -= 1
                return True
        waiting = self._waiting.get(subject, deque())
        for index, (_, other) in enumerate(waiting):
            if other is job:
                del waiting[index]
                self._length -= 1
                self._drop_empty(subject)
                return True
        return False

    def _first_subject(self) -> str:
        if self._front is None:
            if not self._waiting:
                raise IndexError("the queue is empty")
            self._front = min(self._waiting, key=self._order_key)
        return self._front

    def _order_key(self, subject: str) -> tuple[float, int]:
        return max(self._finish_tags.get(subject, 0.0), self._virtual_time), self._waiting[subject][0][0]

    def _charge(self, subject: str, cost: float) -> None:
        self._finish_tags[subject] = max(self._finish_tags.get(subject, 0.0), self._virtual_time) + cost
        self._finish_tags.move_to_end(subject)
        self._front = None
        while self._finish_tags:
            oldest, tag = next(iter(self._finish_tags.items()))
            if tag > self._virtual_time and len(self._finish_tags) <= MAX_FINISH_TAGS:
                break
            del self._finish_tags[oldest]

    def _drop_empty(self, subject: str) -> None:
        self._front = None
        if not self._waiting[subject]:
            del self._waiting[subject]
