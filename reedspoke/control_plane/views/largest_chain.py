"""The largest part of a chain whose members all reach each other: a maximum clique in the chain's order.

Chains have at most about fifteen members, so a depth-first search with a bound (branch and bound after
Carraghan and Pardalos, 1990) is fast enough.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from reedspoke.control_plane.replication.view import ChainLink

Links = tuple[ChainLink, ...]


def largest_connected_chain(
    links: Sequence[ChainLink],
    is_connected: Callable[[ChainLink, ChainLink], bool],
    may_be_head: Callable[[ChainLink], bool],
    preferred_tail: ChainLink,
) -> Links:
    """The largest subsequence of `links` whose members are pairwise connected and whose first may be head.

    Among several of the same size, one that ends with `preferred_tail` is preferred, then the one whose
    members come first in `links`.
    """
    search = _Search(links, is_connected, may_be_head)
    largest = search.run(range(len(links)), ())
    if preferred_tail not in links:
        return largest
    tail_index = len(links) - 1
    with_tail = search.run(search.neighbours_before(tail_index), (links[tail_index],))
    return with_tail if len(with_tail) == len(largest) else largest


class _Search:
    """Depth-first search over the indexes of `links`, in ascending order."""

    def __init__(
        self,
        links: Sequence[ChainLink],
        is_connected: Callable[[ChainLink, ChainLink], bool],
        may_be_head: Callable[[ChainLink], bool],
    ) -> None:
        self._links = links
        self._may_be_head = [may_be_head(link) for link in links]
        self._later_neighbours = [
            {index for index, other in enumerate(links) if index > own and is_connected(link, other)}
            for own, link in enumerate(links)
        ]
        self._best: Links = ()
        self._suffix: Links = ()

    def neighbours_before(self, index: int) -> list[int]:
        """Indexes below this one whose members are connected with its member."""
        return [other for other in range(index) if index in self._later_neighbours[other]]

    def run(self, indexes: Sequence[int], suffix: Links) -> Links:
        """The largest chain of members at these ascending indexes, followed by `suffix`."""
        self._best = ()
        self._suffix = suffix
        self._extend([], list(indexes))
        return self._best

    def _extend(self, chosen: list[int], candidates: list[int]) -> None:
        self._keep_if_larger(chosen)
        for position, index in enumerate(candidates):
            rest = candidates[position + 1 :]
            if len(chosen) + 1 + len(rest) + len(self._suffix) <= len(self._best):
                return  # no chain of the remaining candidates could be larger
            if chosen or self._may_be_head[index]:
                neighbours = self._later_neighbours[index]
                self._extend([*chosen, index], [other for other in rest if other in neighbours])

    def _keep_if_larger(self, chosen: list[int]) -> None:
        chain = (*(self._links[index] for index in chosen), *self._suffix)
        has_head = self._may_be_head[chosen[0]] if chosen else bool(chain) and self._may_be_head[-1]
        if has_head and len(chain) > len(self._best):
            self._best = chain
