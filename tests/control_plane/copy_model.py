"""An abstract model of a chain, its views and the copies on disks, without messages or time.

It plays any order of commits, views, completed transfers and lost disks that the rules allow, and tells what
each replica would answer. `lost_slots` are the machines that may lose their disks, as often as they like.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from reedspoke.control_plane.replication.messages import ClosedTransfer, CopyStatus
from reedspoke.control_plane.replication.view import ChainLink, Member
from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER


@dataclass
class ModelReplica:
    """A data folder: how many commits it holds, and for which of its links it is complete."""

    member: Member
    held: int = 0
    complete_for: int = FIRST_VIEW_NUMBER
    transfers: list[ClosedTransfer] = field(default_factory=list)
    closed: set[int] = field(default_factory=set)


class CopyModel:
    """Views of a chain of at least `tolerated + 1` members on `machines` machines."""

    def __init__(self, seed: int, machines: int, tolerated: int) -> None:
        self.random = random.Random(seed)
        self.minimum = tolerated + 1
        self.committed = 0
        self.view_number = FIRST_VIEW_NUMBER
        self._folders = 0
        self.replicas = [self._empty_replica(machine) for machine in range(machines)]
        for replica in self.replicas:
            replica.complete_for = FIRST_VIEW_NUMBER
        self.lost_slots = self.random.sample(range(machines), tolerated)
        self.chain = tuple(ChainLink(replica.member, FIRST_VIEW_NUMBER) for replica in self.replicas)

    def _empty_replica(self, machine: int) -> ModelReplica:
        self._folders += 1
        return ModelReplica(Member(f"folder-{self._folders}", f"at-{machine}"), complete_for=0)

    # ---- what is known ----

    def replica_of(self, link: ChainLink) -> ModelReplica | None:
        """The replica of this link; None if its disk has been lost."""
        return next((each for each in self.replicas if each.member == link.member), None)

    def is_complete(self, link: ChainLink) -> bool:
        """Whether the member of this link of the present chain is complete."""
        replica = self.replica_of(link)
        return replica is not None and replica.complete_for == link.joined_view

    def status_of(self, replica: ModelReplica) -> CopyStatus:
        """What a replica answers when it is asked for its copy."""
        present = {link.joined_view for link in self.chain if link.member == replica.member}
        return CopyStatus(
            member=replica.member,
            view_number=self.view_number,
            complete_for=replica.complete_for,
            sequence=replica.held,
            closed_transfers=tuple(
                transfer
                for transfer in replica.transfers
                if transfer.joined_view not in present or transfer.joined_view in replica.closed
            ),
        )

    # ---- steps ----

    def step(self) -> None:
        """Carry out a random step."""
        self.random.choice(
            [self.commit, self.repair, self.repair, self.complete_transfer, self.lose_disk, self.close]
        )()

    def commit(self) -> None:
        """Commit an entry, which needs every member of the chain."""
        if all(self.is_complete(link) for link in self.chain):
            self.committed += 1
            for link in self.chain:
                replica = self.replica_of(link)
                assert replica is not None
                replica.held = self.committed

    def repair(self) -> None:
        """A view keeps some members, of which the first is complete, and appends others."""
        usable = [link for link in self.chain if self._is_usable(link) and self.random.random() < 0.7]
        while usable and not self.is_complete(usable[0]):
            usable.pop(0)
        if usable:
            self.append_to(tuple(usable))

    def append_to(self, kept: tuple[ChainLink, ...]) -> bool:
        """Install the view that keeps these links and appends others up to the minimum, or one more."""
        kept_folders = {link.member.folder_id for link in kept}
        others = [each for each in self.replicas if each.member.folder_id not in kept_folders]
        self.random.shuffle(others)
        all_complete = all(self.is_complete(link) for link in kept)
        lacking = max(0, self.minimum - len(kept))
        joiners = others[: max(lacking, self.random.randint(0, 1) if all_complete else 0)]
        if len(kept) + len(joiners) < self.minimum:
            return False
        previous, self.view_number = self.chain, self.view_number + 1
        for replica in joiners:
            replica.transfers.append(ClosedTransfer(self.view_number, previous))
        self.chain = (*kept, *(ChainLink(replica.member, self.view_number) for replica in joiners))
        return True

    def complete_transfer(self) -> None:
        """The first incomplete member stores the snapshot of its predecessor, unless it refuses that."""
        for before, link in zip(self.chain, self.chain[1:], strict=False):
            source, replica = self.replica_of(before), self.replica_of(link)
            if source is None or replica is None or not self.is_complete(before) or self.is_complete(link):
                continue
            if link.joined_view not in replica.closed:
                replica.held = source.held
                replica.complete_for = link.joined_view
                replica.transfers.clear()
            return

    def lose_disk(self) -> None:
        """One of the machines that may lose their disks does so; the others keep theirs."""
        machine = self.random.choice(self.lost_slots)
        self.replicas[machine] = self._empty_replica(machine)

    def close(self) -> None:
        """An incomplete member of the chain refuses its snapshot."""
        for replica in self.replicas:
            if self.random.random() < 0.3:
                self.close_own(replica)

    def close_own(self, replica: ModelReplica) -> None:
        """This replica refuses the snapshot for its present link, if it has not stored it yet."""
        for link in self.chain:
            if link.member == replica.member and not self.is_complete(link):
                replica.closed.add(link.joined_view)

    def _is_usable(self, link: ChainLink) -> bool:
        replica = self.replica_of(link)
        return replica is not None and link.joined_view not in replica.closed
