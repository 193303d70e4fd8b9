"""The acquirer side's state: who is connected, what they are owed, who makes room, and the final answers."""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.core import MS, SECOND, Core
from reedspoke.net.state import Authorisation, Client, Life, Standing

CLIENT_IDLE = 300 * SECOND
CLIENT_FIRST = (
    2 * SECOND
)  # from connecting to the last byte of a first authorisation: an answer is due in 3 s
CLIENT_SLOW = 2 * SECOND  # for the bytes of one authorisation
CLIENT_FRESH = 50 * MS  # a client that means to ask has sent its first bytes by then
ENDS = {  # the figure that a job's end counts under
    fx.Verdict.SERVED: "succeeded",
    fx.Verdict.DECLINED: "declined",
    fx.Verdict.FAILED: "aborted",
    fx.Verdict.LATE: "aborted",
    fx.Verdict.INVALID: "aborted",
}
GUARD = 0.5  # of the answer slack: where the last guard stands


class Clients(Core):
    def _on_joined(self, event: fx.Joined) -> None:
        client = self.state.clients[event.client] = Client(event.client, self.now)
        self._rest(client, Standing.SILENT)
        self._most("clients", len(self.state.clients))
        self._ring(("client", client.id), self.now + CLIENT_FIRST)
        self._make_room()

    def _rest(self, client: Client, standing: Standing | None) -> None:
        if client.standing is not None:
            self.state.resting[client.standing].pop(client.id, None)
        client.standing = standing
        if standing is not None:
            self.state.resting[standing][client.id] = None

    def _make_room(self) -> None:
        """Guards against clients that crowd out others by holding connections: where the budget is full, one
        that is owed nothing goes. Only where all wait for answers nobody else is taken in meanwhile."""
        state = self.state
        while len(state.clients) - len(state.parting) >= self.budget.clients:
            if (client := self._least_missed()) is None:
                break
            self._count("crowded out")
            self._rest(client, None)
            state.parting.add(client.id)
            self._effects.append(fx.Drop(client.id, fx.Farewell.NOW))
        free = len(state.clients) - len(state.parting) < self.budget.clients
        accepting = free and state.settled
        if accepting != state.accepting:
            state.accepting = accepting
            self._effects.append(fx.Accept(accepting))
            if not free:
                self._count("budget full")
                self._say_seldom("full", "clients: budget is full")

    def _least_missed(self) -> Client | None:
        """Who was answered before sends again elsewhere what crosses the end. Who has only just connected
        would have failed: it stays until its first bytes had the time to come, and meanwhile others wait."""
        state = self.state
        for standing in (Standing.ENDING, Standing.ANSWERED, Standing.SILENT, Standing.KEPT):
            if (number := next(iter(state.resting[standing]), None)) is None:
                continue
            client = state.clients[number]
            if standing is not Standing.SILENT or self.now >= client.joined + CLIENT_FRESH:
                return client
        if state.resting[Standing.SILENT]:
            self._ring(("room", 0), self.now + CLIENT_FRESH)
        return None

    def _on_reading(self, event: fx.Reading) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.reading = True
            self.state.parting.discard(client.id)
            if client.answered:  # else its time runs since it has connected
                self._rest(client, None)
                self._ring(("client", client.id), self.now + CLIENT_SLOW)

    def _on_refused(self, event: fx.Refused) -> None:
        self._count(f"malformed {event.status}")
        self._say_seldom(f"malformed {event.status}", f"authorisation malformed: {event.status} {event.why}")

    def _on_arrived(self, event: fx.Arrived) -> None:
        state = self.state
        if (client := state.clients.get(event.client)) is None:
            if not event.elsewhere and event.name not in state.names:
                self._effects.append(fx.Unclaim(event.name))
            return
        client.reading = False
        state.parting.discard(client.id)
        self._rest(client, None)
        self._quiet(("client", client.id))
        self._count("authorisations")
        if event.elsewhere or event.name in state.names:  # its twin is out and might run twice
            self._count("invalid")
            self._effects.append(fx.Answer(client.id, fx.Verdict.INVALID, last=self.state.leaving()))
            return
        auth = Authorisation(
            state.next_id(), event.name, event.cls, client.id, event.message, self.now + event.span,
            event.slots,
        )  # fmt: skip
        state.authorisations[auth.id] = client.authorisation = auth
        state.names.add(event.name)
        self._most("open", len(state.names))
        slack = int(GUARD * self.settings.rules.answer_slack)
        self._ring(("guard", auth.id), auth.deadline + slack)
        self._told.append(
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

    def _answer(
        self, auth: Authorisation, verdict: fx.Verdict, result: bytes = b"", retry_after: int = 0
    ) -> None:
        """The one final answer."""
        self._count(verdict.value)
        self._tally(ENDS[verdict], auth.cls)
        self._close(auth)
        if (client := self.state.clients.get(auth.client)) is not None and client.authorisation is auth:
            client.authorisation = None
            client.served |= verdict is fx.Verdict.SERVED
            self._effects.append(fx.Answer(client.id, verdict, result, retry_after, self.state.leaving()))

    def _close(self, auth: Authorisation) -> None:
        auth.open = False
        auth.message = None
        self.state.names.discard(auth.name)
        self._effects.append(fx.Unclaim(auth.name))
        self._quiet(("guard", auth.id))
        self._forget(auth)

    def _forget(self, auth: Authorisation) -> None:
        if not auth.open and not auth.out:
            self.state.authorisations.pop(auth.id, None)

    def _on_answered(self, event: fx.Answered) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.answered += 1
            client.reading = False
            self._rest(client, Standing.KEPT if client.served else Standing.ANSWERED)
            self._ring(("client", client.id), self.now + CLIENT_IDLE)
            if self.state.life is Life.SHUT:
                self._effects.append(fx.Drop(client.id))
            else:
                self._make_room()

    def _on_ending(self, event: fx.Ending) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            self._rest(client, Standing.ENDING)
            self._make_room()

    def _on_parted(self, event: fx.Parted) -> None:
        if (client := self.state.clients.pop(event.client, None)) is None:
            return
        self._rest(client, None)
        self.state.parting.discard(client.id)
        self._quiet(("client", client.id))
        if (auth := client.authorisation) is not None:
            self._count("gone")
            self._close(auth)
            self._told.append(api.Gone(auth.id))
        if self.state.life in (Life.STARTING, Life.SERVING, Life.LEAVING):
            self._make_room()

    def _ring_client(self, number: int) -> None:
        client = self.state.clients.get(number)
        if client is not None and client.authorisation is None:
            if not client.answered and not client.reading:
                self._count("silent")
            self._effects.append(fx.Drop(number, fx.Farewell.TOLD if client.reading else fx.Farewell.IDLE))

    def _ring_guard(self, number: int) -> None:
        """Guards against an authorisation that nobody answers: its time is up whatever the module does."""
        auth = self.state.authorisations.get(number)
        if auth is not None and auth.open:
            self._fault(
                f"no final answer in time, the last guard gives one (legs {auth.legs}, out {len(auth.out)})"
            )
            self._answer(auth, fx.Verdict.LATE)
            self._told.append(api.Gone(auth.id))

    def _tenant(self, name: str) -> str:
        """Guards the module's tables: where the settings name the tenants, all others are one to it."""
        tenants = self.settings.tenants
        return name if not tenants or any(tenant.name == name for tenant in tenants) else ""
