"""The acquirer side's state: who is connected, what they are owed, who makes room, and the final answers.

A client's connection is, from its first event on:

    (Joined) -> SILENT -> reading -> waiting -> KEPT, or ANSWERED where no answer was a result -> reading ...
                                             -> ENDING, where the answer was its last
    any -> parting (its room is needed) -> gone (Parted)

`Arrived` makes it wait and is counted whatever stood before, `Answered` ends the wait, and `Parted` is the
last word about it in any state. Only who is owed no answer rests in a `Standing`, and only who rests is
ever dropped for room. An authorisation is open from `Arrived` to its one final answer, or to `Parted`.
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.core import MS, SECOND, Concern, Reactions, Rings
from reedspoke.net.state import Authorisation, Client, Life, Standing

CLIENT_IDLE = 300 * SECOND
CLIENT_FIRST = (
    2 * SECOND
)  # from connecting to the last byte of a first authorisation: an answer is due in 3 s
CLIENT_SLOW = 2 * SECOND  # for the bytes of one authorisation
CLIENT_FRESH = 50 * MS  # a client that means to ask has sent its first bytes by then
NEW = (Standing.SHAKING, Standing.SILENT)  # what these were sent may be on its way
ENDS = {  # the figure that a job's end counts under
    fx.Verdict.SERVED: "succeeded",
    fx.Verdict.DECLINED: "declined",
    fx.Verdict.FAILED: "aborted",
    fx.Verdict.LATE: "aborted",
    fx.Verdict.INVALID: "aborted",
    fx.Verdict.WITHDRAWN: "declined",
}
GUARD = 0.5  # of the answer slack: where the last guard stands


class Clients(Concern):
    def reactions(self) -> Reactions:
        return {
            fx.Joined: self._on_joined, fx.Reading: self._on_reading, fx.Refused: self._on_refused,
            fx.Arrived: self._on_arrived, fx.Answered: self._on_answered, fx.Ending: self._on_ending,
            fx.Parted: self._on_parted, fx.Withdrawn: self._on_withdrawn, fx.Scarce: self._on_scarce,
        }  # fmt: skip

    def rings(self) -> Rings:
        return {
            "client": self._ring_client, "guard": self._ring_guard, "room": lambda _: self.make_room(),
        }  # fmt: skip

    def _on_joined(self, event: fx.Joined) -> None:
        self.enter(event.client, Standing.SILENT)

    def enter(self, number: int, standing: Standing) -> None:
        """A new client; it holds a place from now on, whatever its front still has to do."""
        client = self.state.clients[number] = Client(number, self.core.now)
        self.rest(client, standing)
        self.core.most("clients", len(self.state.clients))
        self.core.ring(("client", client.id), self.core.now + CLIENT_FIRST)
        self.make_room()

    def rest(self, client: Client, standing: Standing | None) -> None:
        if client.standing is not None:
            self.state.resting[client.standing].pop(client.id, None)
        client.standing = standing
        if standing is not None:
            self.state.resting[standing][client.id] = None

    def make_room(self) -> None:
        """Guards against clients that crowd out others by holding connections: where the budget is full, one
        that is owed nothing goes. Only where all wait for answers nobody else is taken in meanwhile."""
        state = self.state
        while len(state.clients) - len(state.parting) >= self.core.budget.clients:
            if (client := self._least_missed()) is None:
                break
            self._send_away(client)
        free = len(state.clients) - len(state.parting) < self.core.budget.clients
        accepting = free and state.settled
        if accepting != state.accepting:
            state.accepting = accepting
            self.core.ask(fx.Accept(accepting))
            if not free:
                self.core.count("budget full")
                self.core.say_seldom("full", "clients: budget is full")

    def _send_away(self, client: Client) -> None:
        self.core.count("crowded out")
        self.rest(client, None)
        self.state.parting.add(client.id)
        self.core.ask(fx.Drop(client.id, fx.Farewell.NOW))

    def _least_missed(self) -> Client | None:
        """Who was answered before sends again elsewhere what crosses the end. Who has only just connected
        would have failed: it stays until its first bytes had the time to come, and meanwhile others wait."""
        state = self.state
        for standing in (
            Standing.ENDING,
            Standing.SHAKING,
            Standing.ANSWERED,
            Standing.SILENT,
            Standing.KEPT,
        ):
            if (number := next(iter(state.resting[standing]), None)) is None:
                continue
            client = state.clients[number]
            if standing not in NEW or self.core.now >= client.joined + CLIENT_FRESH:
                return client
        if any(state.resting[standing] for standing in NEW):
            self.core.ring(("room", 0), self.core.now + CLIENT_FRESH)
        return None

    def _on_reading(self, event: fx.Reading) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.reading = True
            self.state.parting.discard(client.id)
            if client.answered:  # else its time runs since it has connected
                self.rest(client, None)
                self.core.ring(("client", client.id), self.core.now + CLIENT_SLOW)

    def _on_refused(self, event: fx.Refused) -> None:
        self.core.count(f"malformed {event.status}")
        self.core.say_seldom(
            f"malformed {event.status}", f"authorisation malformed: {event.status} {event.why}"
        )

    def _on_arrived(self, event: fx.Arrived) -> None:
        state = self.state
        if (client := state.clients.get(event.client)) is None:
            if not event.elsewhere and event.name not in state.names:
                self.core.ask(fx.Unclaim(event.name))
            return
        client.reading = False
        state.parting.discard(client.id)
        self.rest(client, None)
        self.core.quiet(("client", client.id))
        self.core.count("authorisations")
        if event.elsewhere or event.name in state.names:  # its twin is out and might run twice
            self.core.count("invalid")
            self.core.ask(fx.Answer(client.id, fx.Verdict.INVALID, last=self.state.leaving()))
            return
        deadline = self.core.now + event.span
        if state.life is Life.SHUT:
            # Guards those who were slow to ask: what comes 0.7 s behind SIGTERM is owed its answer before
            # SIGKILL.
            deadline = min(deadline, state.kill_at)
        auth = Authorisation(
            state.next_id(), event.name, event.cls, client.id, event.message, deadline, event.slots
        )
        state.authorisations[auth.id] = client.authorisation = auth
        state.names.add(event.name)
        self.core.most("open", len(state.names))
        slack = int(GUARD * self.core.settings.rules.answer_slack)
        self.core.ring(("guard", auth.id), auth.deadline + slack)
        self.core.tell(
            api.Request(
                auth.id,
                event.cls,
                auth.deadline,
                event.hint,
                event.slots,
                event.memory,
                self._tenant(event.tenant),
                event.key,
            )
        )

    def answer(
        self, auth: Authorisation, verdict: fx.Verdict, result: bytes = b"", retry_after: int = 0
    ) -> None:
        """The one final answer."""
        self.core.count(verdict.value)
        self.core.tally(ENDS[verdict], auth.cls)
        self._close(auth)
        if (client := self.state.clients.get(auth.client)) is not None and client.authorisation is auth:
            client.authorisation = None
            client.served |= verdict is fx.Verdict.SERVED
            self.core.ask(fx.Answer(client.id, verdict, result, retry_after, self.state.leaving()))

    def _close(self, auth: Authorisation) -> None:
        auth.open = False
        auth.message = None
        self.state.names.discard(auth.name)
        self.core.ask(fx.Unclaim(auth.name))
        self.core.quiet(("guard", auth.id))
        self.forget(auth)

    def forget(self, auth: Authorisation) -> None:
        if not auth.open and not auth.out:
            self.state.authorisations.pop(auth.id, None)

    def _on_answered(self, event: fx.Answered) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.answered += 1
            client.reading = False
            self.rest(client, Standing.KEPT if client.served else Standing.ANSWERED)
            self.core.ring(("client", client.id), self.core.now + CLIENT_IDLE)
            if self.state.life is Life.SHUT:
                self.core.ask(fx.Drop(client.id))
            else:
                self.make_room()

    def _on_ending(self, event: fx.Ending) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            self.rest(client, Standing.ENDING)
            self.make_room()

    def _on_withdrawn(self, event: fx.Withdrawn) -> None:
        """Taken is taken: only what has no leg as yet is answered, and the module forgets it."""
        client = self.state.clients.get(event.client)
        if client is not None and (auth := client.authorisation) is not None and auth.open and not auth.legs:
            self.answer(auth, fx.Verdict.WITHDRAWN)
            self.core.tell(api.ClientDisconnected(auth.id))

    def _on_parted(self, event: fx.Parted) -> None:
        if (client := self.state.clients.pop(event.client, None)) is None:
            return
        self.rest(client, None)
        self.state.parting.discard(client.id)
        self.core.quiet(("client", client.id))
        if (auth := client.authorisation) is not None:
            self.leave(auth)
        if self.state.life in (Life.STARTING, Life.SERVING, Life.LEAVING):
            self.make_room()

    def leave(self, auth: Authorisation) -> None:
        """Its client has gone: no answer is owed, and no leg begins from now on."""
        if not auth.open:
            return
        self.core.count("gone")
        if (client := self.state.clients.get(auth.client)) is not None:
            client.authorisation = None
        self._close(auth)
        self.core.tell(api.ClientDisconnected(auth.id))

    def _on_scarce(self, _: fx.Scarce) -> None:
        """Guards who waits outside against a system that gives out fewer descriptors than were promised: one
        that is owed nothing goes."""
        if (client := self._least_missed()) is not None:
            self._send_away(client)

    def _ring_client(self, number: int) -> None:
        client = self.state.clients.get(number)
        if client is not None and client.authorisation is None:
            if not client.answered and not client.reading:
                self.core.count("silent")
            self.core.ask(fx.Drop(number, fx.Farewell.TOLD if client.reading else fx.Farewell.IDLE))

    def _ring_guard(self, number: int) -> None:
        """Guards against an authorisation that nobody answers: its time is up whatever the module does."""
        auth = self.state.authorisations.get(number)
        if auth is not None and auth.open:
            self.core.fault(
                f"no final answer in time, the last guard gives one (legs {auth.legs}, out {len(auth.out)})"
            )
            self.answer(auth, fx.Verdict.LATE)
            self.core.tell(api.ClientDisconnected(auth.id))

    def _tenant(self, name: str) -> str:
        """Guards the module's tables: where the settings name the tenants, all others are one to it."""
        tenants = self.core.settings.tenants
        return name if not tenants or any(tenant.name == name for tenant in tenants) else ""
