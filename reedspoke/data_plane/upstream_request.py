"""A client's request as it is sent to workers."""

from __future__ import annotations

from reedspoke.data_plane.client_connection import ClientRequest
from reedspoke.data_plane.headers import (
    ATTEMPT_ID,
    EXPECT_VERSION,
    LAST_EVENT_ID,
    field_text,
    forwarded_request_fields,
)

METHODS_WITHOUT_LENGTH = (b"GET", b"HEAD")  # An empty body of these methods needs no Content-Length.


class UpstreamRequest:
    """The parts of a request that all its attempts share."""

    def __init__(self, request: ClientRequest, tenant: str = "") -> None:
        self.attempt_id = field_text(request.head, ATTEMPT_ID)
        self.last_event_id = field_text(request.head, LAST_EVENT_ID)
        self.head_only = request.head.method == b"HEAD"
        self.version_requested = request.head.get(EXPECT_VERSION) is not None
        self._request = request
        self._fields = forwarded_request_fields(request.head)
        if tenant:
            self._fields += b"Reedspoke-Tenant-Name: %b\r\n" % tenant.encode()

    @property
    def fields(self) -> bytes:
        """The header lines that all attempts share, each with its line end."""
        return self._fields

    def render(self, instance_id: str, remaining_ms: int, last_event_id: str, urgency: int | None) -> bytes:
        """The bytes of one attempt, for this worker instance and with the remaining time."""
        head, body = self._request.head, self._request.body
        lines = [
            b"%b %b HTTP/1.1\r\n" % (head.method, bytes(head.target)),
            self._fields,
            b"Reedspoke-Deadline-Ms: %d\r\n" % remaining_ms,
            b"Reedspoke-Target-Instance: %b\r\n" % instance_id.encode(),
        ]
        if last_event_id:
            lines.append(b"Last-Event-Id: %b\r\n" % last_event_id.encode("latin-1"))
        if urgency is not None:
            lines.append(b"Priority: %d\r\n" % urgency)
        if body or head.method not in METHODS_WITHOUT_LENGTH:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        lines.append(b"\r\n")
        lines.append(body)
        return b"".join(lines)
