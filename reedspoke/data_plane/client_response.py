"""What the client of one request gets: a whole answer, or a stream that several attempts may write to."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.data_plane.answers import CompleteAnswer
from reedspoke.data_plane.client_connection import ClientConnection
from reedspoke.data_plane.headers import status_line


class ClientResponse:
    """Writes to the client's connection as long as there is one, and ends only once."""

    def __init__(self, client: ClientConnection, last_event_id: str) -> None:
        self.begun = False  # a stream's head has been written
        self.last_event_id = last_event_id  # a worker that goes on with the stream begins behind it
        self._client: ClientConnection | None = client
        self._has_event_id = False  # of an event that was passed on

    @property
    def resumable(self) -> bool:
        """Whether another run can be told where to go on."""
        return not self.begun or self._has_event_id

    def pass_on(self, status: int, fields: bytes, events: bytes, last_id: str) -> None:
        """Whole events; the first ones bring their answer's head along."""
        if last_id:
            self.last_event_id = last_id
            self._has_event_id = True
        if self.begun:
            if self._client is not None:
                self._client.write_piece(events)
            return
        self.begun = True
        if self._client is not None:
            self._client.begin_stream(status_line(status), fields, events)

    def end_stream(self) -> None:
        """The stream is whole."""
        self._finish(lambda client: client.end_stream())

    def break_off(self) -> None:
        """The stream is not whole, and is seen to be so."""
        self._finish(lambda client: client.abort())

    def answer(self, answer: CompleteAnswer) -> None:
        """The whole answer."""
        self._finish(lambda client: client.send_answer(answer))

    def client_disconnected(self) -> None:
        """The client has left: nothing more is written."""
        self._client = None

    def _finish(self, write: Callable[[ClientConnection], None]) -> None:
        """Write the last of it. A client that could not be given it must not wait for it either."""
        client = self._client
        self._client = None
        if client is None:
            return
        try:
            write(client)
        except Exception:
            client.abort()
            raise
