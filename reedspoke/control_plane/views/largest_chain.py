"""The largest part of a chain whose members all reach each other."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from reedspoke.control_plane.replication.events import ChainLink

Links = tuple[ChainLink, ...]


def largest_chain(
    links: Sequence[ChainLink],
    connected: Callable[[ChainLink, ChainLink], bool],
    may_be_head: Callable[[ChainLink], bool],
    preferred_tail: ChainLink,
) -> Links:
    """The largest part, in the order of `links`, of which every two are connected and the first may be head.

    Among several of one size one that ends with `preferred_tail`, then the one whose members stand first.
    """
    search = _Search(links, connected, may_be_head)
    largest = search.run(range(len(links)), ())
    if preferred_tail not in links:
        return largest
    tail = len(links) - 1
    with_tail = search.run([*search.neighbours_before(tail)], (links[tail],))
    return with_tail if len(with_tail) == len(largest) else largest


class _Search:
    """Depth-first, members that stand first before others, with branches cut that can't become larger."""

    def __init__(
        self,
        links: Sequence[ChainLink],
        connected: Callable[[ChainLink, ChainLink], bool],
        may_be_head: Callable[[ChainLink], bool],
    ) -> None:
        self._links = links
        self._heads = [may_be_head(link) for link in links]
        self._neighbours = [
            {place for place, other in enumerate(links) if place > own and connected(link, other)}
            for own, link in enumerate(links)
        ]
        self._best: Links = ()
        self._end: Links = ()

    def neighbours_before(self, place: int) -> list[int]:
        """The places before this one that are connected with it."""
        return [other for other in range(place) if place in self._neighbours[other]]

    def run(self, places: Sequence[int], end: Links) -> Links:
        """The largest chain of these places, which are in order, followed by `end`."""
        self._best = ()
        self._end = end
        self._extend([], list(places))
        return self._best

    def _extend(self, chosen: list[int], candidates: list[int]) -> None:
        self._note(chosen)
        for index, place in enumerate(candidates):
            rest = candidates[index + 1 :]
            if len(chosen) + 1 + len(rest) + len(self._end) <= len(self._best):
                return
            if chosen or self._heads[place]:
                self._extend([*chosen, place], [other for other in rest if other in self._neighbours[place]])

    def _note(self, chosen: list[int]) -> None:
        chain = (*(self._links[place] for place in chosen), *self._end)
        headed = self._heads[chosen[0]] if chosen else bool(chain) and self._heads[-1]
        if headed and len(chain) > len(self._best):
            self._best = chain
