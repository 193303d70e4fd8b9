"""The waiting jobs of one client of the fair queue, in turn by subject.

A subject is the last shared part of a prompt. Jobs of a subject go in order of arrival; of the subjects the
one goes first whose jobs have cost the least lately (start-time fair queueing), so that a hot subject does
not keep others from being served. A subject without waiting jobs is forgotten once the turn has come past
it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from heapq import nsmallest
from itertools import islice
from typing import Generic, TypeVar

T = TypeVar("T")

REMEMBERED = 1024  # subjects without waiting jobs that are remembered


class SubjectQueue(Generic[T]):
    """Jobs, told apart by identity; `len` is the number that waits."""

    def __init__(self) -> None:
        self._returned: deque[tuple[str, T]] = deque()  # sent, and given back by the worker: they go first
        self._waiting: dict[str, deque[tuple[int, T]]] = {}
        self._tags: OrderedDict[str, float] = OrderedDict()
        self._turn = 0.0  # tag of the subject that was served last
        self._arrivals = 0
        self._length = 0
        self._front: str | None = None  # subject of the head, where it is known

    def __len__(self) -> int:
        return self._length

    @property
    def remembered(self) -> int:
        """Subjects that have an account."""
        return len(self._tags)

    def push(self, subject: str, job: T) -> None:
        """A job arrives."""
        self._arrivals += 1
        self._waiting.setdefault(subject, deque()).append((self._arrivals, job))
        self._length += 1
        self._front = None

    def push_head(self, subject: str, job: T) -> None:
        """A job comes back that has not run."""
        self._returned.appendleft((subject, job))
        self._length += 1

    def head(self) -> T:
        """The job whose turn it is. Raises IndexError if none waits."""
        if self._returned:
            return self._returned[0][1]
        return self._waiting[self._first_subject()][0][1]

    def heads(self, limit: int) -> list[T]:
        """The next jobs of different subjects, in turn: the head, and who may go before it if it cannot."""
        found = [job for _, job in islice(self._returned, limit)]
        left = limit - len(found)
        if left == 1 and self._waiting:
            found.append(self._waiting[self._first_subject()][0][1])
        elif left > 1:
            subjects = nsmallest(left, self._waiting, key=self._place)
            found += [self._waiting[subject][0][1] for subject in subjects]
        return found

    def take(self, subject: str, job: T, cost: float) -> None:
        """Take a job out to be served; its subject pays the cost. Raises ValueError if it does not wait."""
        turn = not self._returned and self.head() is job
        if not self.remove(subject, job):
            raise ValueError("the job does not wait")
        if turn:
            self._turn = max(self._turn, self._tags.get(subject, 0.0))
        self._charge(subject, cost)

    def refund(self, subject: str, cost: float) -> None:
        """A job that was taken has not run: its charge is reversed."""
        if subject in self._tags:
            self._tags[subject] -= cost
            self._front = None

    def remove(self, subject: str, job: T) -> bool:
        """Take a job out wherever it stands; False if it does not wait."""
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
                raise IndexError("no job waits")
            self._front = min(self._waiting, key=self._place)
        return self._front

    def _place(self, subject: str) -> tuple[float, int]:
        return max(self._tags.get(subject, 0.0), self._turn), self._waiting[subject][0][0]

    def _charge(self, subject: str, cost: float) -> None:
        self._tags[subject] = max(self._tags.get(subject, 0.0), self._turn) + cost
        self._tags.move_to_end(subject)
        self._front = None
        while self._tags:
            oldest, tag = next(iter(self._tags.items()))
            if tag > self._turn and len(self._tags) <= REMEMBERED:
                break
            del self._tags[oldest]

    def _drop_empty(self, subject: str) -> None:
        self._front = None
        if not self._waiting[subject]:
            del self._waiting[subject]
