"""Sessions with the control plane: two at a time where two are in reach, in different zones if possible.

What a session learns is handed to `Subscription`, which takes a source's state only where it is newer: what
is in force never goes back, whichever control scheduler tells it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from msgspec import Struct, field

from reedspoke.cluster.configuration import (
    Configuration,
    apply_difference,
    parse_configuration,
)
from reedspoke.cluster.json_log import WARNING, log
from reedspoke.cluster.messages import (
    CONFIGURATION,
    MEMBERS,
    NO_VERSION,
    WORKERS,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlMember,
    ControlMessage,
    Fetch,
    MemberList,
    Version,
    Versions,
    Watch,
    WorkerList,
)
from reedspoke.cluster.transport import CONNECTION_ENDED, Channel, open_channel

SESSIONS = 2
SILENCE_S = 1.2  # a control scheduler that says nothing for so long is left
BACK_OFF_S = 0.15  # before another control scheduler is tried
FETCH_S = 0.5  # a fetch that has not been answered for so long is begun anew, by whichever session
AVOID_S = 1.5  # one that failed is not tried again before, unless there is no other


class FleetState(Struct):
    """The newest state of each source that any session has brought."""

    versions: dict[str, Version] = field(default_factory=dict)
    configuration: Configuration | None = None
    workers: WorkerList | None = None
    members: MemberList | None = None


class PendingFetch(Struct, frozen=True):
    """A fetch that some session has begun."""

    version: Version
    since: float


class Listener(Struct):
    """Who is told when a source has newer state."""

    on_configuration: Callable[[Configuration, Version], None]
    on_workers: Callable[[WorkerList], None]
    on_members: Callable[[MemberList], None]
    on_running: Callable[[dict[str, tuple[int, int]]], None]


class Subscription:
    """Takes what sessions bring; only newer state replaces older."""

    def __init__(self, listener: Listener) -> None:
        self.state = FleetState()
        self._listener = listener
        self._pending: dict[str, PendingFetch] = {}

    def version(self, source: str) -> Version:
        return self.state.versions.get(source, NO_VERSION)

    def expected_version(self, source: str, now: float) -> Version:
        """The version that is held, or that some session has lately asked for."""
        pending = self._pending.get(source)
        held = self.version(source)
        if pending is None or now - pending.since > FETCH_S:
            return held
        return max(held, pending.version)

    def lacks(self, versions: dict[str, Version], now: float) -> list[str]:
        """The sources of which the other side has newer state that nobody has asked for yet."""
        return [
            source
            for source in (CONFIGURATION, WORKERS)
            if versions.get(source, NO_VERSION) > self.expected_version(source, now)
        ]

    def begin_fetch(self, source: str, version: Version, now: float) -> None:
        """Some session asks for this version."""
        self._pending[source] = PendingFetch(version, now)

    def take(self, message: ControlMessage) -> bool:
        """Take a source's state; False where it was of no use (older, or its base is another one)."""
        match message:
            case ConfigurationSnapshot():
                return self._take_snapshot(message)
            case ConfigurationDelta():
                return self._take_delta(message)
            case WorkerList():
                return self._take_workers(message)
            case MemberList():
                self.state.members = message
                self._listener.on_members(message)
            case Versions():
                self._listener.on_running(message.running)
        return True

    def _take_snapshot(self, message: ConfigurationSnapshot) -> bool:
        if message.version <= self.version(CONFIGURATION):
            return False
        self._set_configuration(parse_configuration(message.document), message.version)
        return True

    def _take_delta(self, message: ConfigurationDelta) -> bool:
        held = self.state.configuration
        version = self.version(CONFIGURATION)
        if held is None or message.base != version or message.version <= version:
            return False
        self._set_configuration(apply_difference(held, message), message.version)
        return True

    def _set_configuration(self, configuration: Configuration, version: Version) -> None:
        self.state.configuration = configuration
        self.state.versions[CONFIGURATION] = version
        self._listener.on_configuration(configuration, version)

    def _take_workers(self, message: WorkerList) -> bool:
        if message.version <= self.version(WORKERS):
            return False
        self.state.workers = message
        self.state.versions[WORKERS] = message.version
        self._listener.on_workers(message)
        return True


class OwnState(Struct, frozen=True):
    """What this scheduler says of itself in each heartbeat."""

    node_name: str
    incarnation: str
    zone: str
    draining: bool
    running: dict[str, tuple[int, int]]


class ControlSessions:
    """Keeps SESSIONS sessions up, each a loop of its own."""

    def __init__(
        self,
        subscription: Subscription,
        own_state: Callable[[], OwnState],
        seeds: Callable[[], tuple[str, ...]],
        random: Random,
    ) -> None:
        self._subscription = subscription
        self._own_state = own_state
        self._seeds = seeds
        self._random = random
        self._in_use: dict[str, str] = {}  # address of each session that is up or coming up, with its zone
        self._conversations: set[Conversation] = set()
        self._failed_at: dict[str, float] = {}

    def sessions(self) -> int:
        """Sessions in which the other side has said something."""
        return sum(conversation.heard for conversation in self._conversations)

    async def run(self) -> None:
        """Runs until it is cancelled."""
        await asyncio.gather(*(self._keep_one() for _ in range(SESSIONS)))

    async def _keep_one(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chosen = self._choose(loop.time())
            if chosen is not None:
                self._in_use[chosen.address] = chosen.zone
                try:
                    await self._converse(chosen.address)
                except CONNECTION_ENDED:
                    self._failed_at[chosen.address] = loop.time()
                except Exception as error:  # whatever one session brings, the next one is opened
                    self._failed_at[chosen.address] = loop.time()
                    log(WARNING, "session given up", address=chosen.address, error=repr(error))
                finally:
                    del self._in_use[chosen.address]
            await asyncio.sleep(BACK_OFF_S * (0.5 + self._random.random()))

    def _choose(self, now: float) -> ControlMember | None:
        """The next control scheduler: not failed lately, in a zone without a session, the own zone first."""
        members = self._subscription.state.members
        known = list(members.control) if members is not None else []
        addresses = {member.address for member in known}
        known += [ControlMember(seed, "") for seed in self._seeds() if seed not in addresses]
        free = [member for member in known if member.address not in self._in_use]
        if not free:
            return None
        own_zone = self._own_state().zone
        taken = set(self._in_use.values())
        self._random.shuffle(free)
        free.sort(
            key=lambda member: (
                now - self._failed_at.get(member.address, -AVOID_S) < AVOID_S,
                member.zone in taken,
                member.zone != own_zone,
            )
        )
        return free[0]

    async def _converse(self, address: str) -> None:
        channel = await open_channel(address)
        conversation = Conversation(channel, self._subscription, self._own_state)
        self._conversations.add(conversation)
        try:
            await conversation.run()
        finally:
            self._conversations.discard(conversation)
            channel.close()


class Conversation:
    """One session: a `Watch` is always out, and what is lacking is fetched."""

    def __init__(
        self, channel: Channel, subscription: Subscription, own_state: Callable[[], OwnState]
    ) -> None:
        self.heard = False  # whether the other side has said anything
        self._channel = channel
        channel.silence_s = SILENCE_S
        self._subscription = subscription
        self._own_state = own_state
        self._request_id = 0
        self._members_version: Version = NO_VERSION  # is local to the control scheduler of this session
        self._fetching: dict[str, Version] = {}

    async def run(self) -> None:
        """Runs until the connection ends or the other side is silent."""
        self._watch()
        while True:
            message = await self._channel.receive(ControlMessage)
            self.heard = True
            if isinstance(message, Versions):
                self._take_versions(message)
            else:
                self._take_state(message)

    def _watch(self) -> None:
        self._request_id += 1
        own = self._own_state()
        now = asyncio.get_running_loop().time()
        versions = {
            source: self._subscription.expected_version(source, now) for source in (CONFIGURATION, WORKERS)
        }
        versions[MEMBERS] = self._members_version
        self._channel.send(
            Watch(
                self._request_id,
                own.node_name,
                own.incarnation,
                own.zone,
                versions,
                own.running,
                own.draining,
            )
        )

    def _take_versions(self, message: Versions) -> None:
        self._subscription.take(message)
        now = asyncio.get_running_loop().time()
        for source in self._subscription.lacks(message.versions, now):
            self._subscription.begin_fetch(source, message.versions[source], now)
            self._fetch(source, message.versions[source], self._subscription.version(source))
        offered = message.versions.get(MEMBERS, NO_VERSION)
        if offered != self._members_version:
            self._fetch(MEMBERS, offered, self._members_version)
        if not self._fetching:
            self._watch()

    def _fetch(self, source: str, wanted: Version, have: Version) -> None:
        self._fetching[source] = wanted
        self._channel.send(Fetch(source, have))

    def _take_state(self, message: ControlMessage) -> None:
        source = source_of(message)
        self._fetching.pop(source, None)
        if isinstance(message, MemberList):
            self._members_version = message.version
        useful = self._subscription.take(message)
        if not useful and isinstance(message, ConfigurationDelta):
            self._fetch_whole(message)
        if not self._fetching:
            self._watch()

    def _fetch_whole(self, delta: ConfigurationDelta) -> None:
        """The difference's base is not what we hold: another session has been faster, or we hold nothing."""
        if delta.version > self._subscription.version(CONFIGURATION):
            self._fetch(CONFIGURATION, delta.version, NO_VERSION)


def source_of(message: ControlMessage) -> str:
    """The source whose state a message carries."""
    match message:
        case ConfigurationSnapshot() | ConfigurationDelta():
            return CONFIGURATION
        case WorkerList():
            return WORKERS
        case MemberList():
            return MEMBERS
    return ""
