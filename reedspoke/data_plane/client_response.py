"""The answer to one client request: a complete answer, or a stream that several attempts may continue."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.data_plane.answers import CompleteAnswer
from reedspoke.data_plane.client_connection import ClientConnection
from reedspoke.data_plane.headers import status_line


class ClientResponse:
    """Writes the answer to the client's connection while the client is connected, and ends it only once."""

    def __init__(self, client: ClientConnection, last_event_id: str) -> None:
        self.started = False  # Whether the head of a stream has been written.
        self.last_event_id = last_event_id  # A resumed stream continues after this event.
        self._client: ClientConnection | None = client
        self._has_event_id = False  # Whether a forwarded event had an id.

    @property
    def resumable(self) -> bool:
        """Whether another attempt can continue the answer: nothing was forwarded, or events with an id."""
        return not self.started or self._has_event_id

    def forward_events(self, status: int, fields: bytes, events: bytes, last_id: str) -> None:
        """Writes complete events; the first call also writes the head of the answer."""
        if last_id:
            self.last_event_id = last_id
            self._has_event_id = True
        if self.started:
            if self._client is not None:
                self._client.write_piece(events)
            return
        self.started = True
        if self._client is not None:
            self._client.start_stream(status_line(status), fields, events)

    def end_stream(self) -> None:
        """Ends a stream that is complete."""
        self._finish(lambda client: client.end_stream())

    def abort(self) -> None:
        """Aborts the connection, so that the client sees that the stream is incomplete."""
        self._finish(lambda client: client.abort())

    def send_answer(self, answer: CompleteAnswer) -> None:
        """Writes a complete answer."""
        self._finish(lambda client: client.send_answer(answer))

    def client_disconnected(self) -> None:
        """Discards all further output, as the client has disconnected."""
        self._client = None

    def _finish(self, write: Callable[[ClientConnection], None]) -> None:
        """Makes the last write. If it fails, the connection is aborted, so that the client does not wait."""
        client = self._client
        self._client = None
        if client is None:
            return
        try:
            write(client)
        except Exception:
            client.abort()
            raise
