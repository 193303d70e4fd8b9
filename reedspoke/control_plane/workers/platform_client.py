"""HTTP client for the platform's list of workers, over one persistent connection."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from urllib.parse import quote

import msgspec

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.node_settings import split_address
from reedspoke.control_plane.workers.platform_messages import PlatformPage, parse_page
from reedspoke.net.http import Buffer, Head, MalformedError, ResponseEnd, ResponseParser

LIST_PATH = "/workers"
PAGE_PARAMETER = "page_token"
CALL_TIMEOUT_S = 0.8
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
READ_SIZE = 64 * 1024


class PlatformError(FleetError):
    """A page of the platform's list could not be fetched."""

    def __init__(self, message: str, code: ErrorCode = ErrorCode.PLATFORM_FAILED) -> None:
        super().__init__(code, message)


class PlatformRateError(PlatformError):
    """The platform rejected a call because its rate limit for all callers is exceeded."""

    def __init__(self, message: str) -> None:
        super().__init__(message, ErrorCode.PLATFORM_RATE)


class PlatformClient:
    """Fetches one page at a time.

    Owns the connection, which the first call and each call after `close` opens.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def fetch_page(self, token: str | None) -> PlatformPage:
        """Fetch the page for `token`, or the first page if it is None.

        Raises PlatformRateError if the platform's rate limit is exceeded, and PlatformError for any other
        failure, including a call that takes longer than `CALL_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._call(token)
        except (OSError, TimeoutError, MalformedError, msgspec.DecodeError) as error:
            self.close()
            raise PlatformError(str(error) or type(error).__name__) from error
        except PlatformError:
            raise
        except BaseException:
            self.close()  # The rest of this response would be read as the next one.
            raise

    def close(self) -> None:
        """Abort the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _call(self, token: str | None) -> PlatformPage:
        if self._writer is None or self._writer.is_closing():
            host, port = split_address(self._address)
            self._reader, self._writer = await asyncio.open_connection(host, port)
        query = "" if token is None else f"?{PAGE_PARAMETER}={quote(token, safe='')}"
        head = f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {self._address}\r\n"
        self._writer.write(f"{head}Accept: application/json\r\n\r\n".encode("ascii"))
        status, body = await self._read_response()
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            raise PlatformRateError("the platform's rate limit is exceeded")
        if status != HTTPStatus.OK:
            raise PlatformError(f"the platform answered with status {status}")
        return parse_page(body)

    async def _read_response(self) -> tuple[int, bytes]:
        """Read one response, and return its status and body."""
        buffer = Buffer()
        parser = ResponseParser(buffer)
        status = 0
        body = bytearray()
        while True:
            for event in parser.feed():
                match event:
                    case Head():
                        status = event.status
                    case ResponseEnd(reusable):
                        if not reusable:
                            self.close()
                        return status, bytes(body)
                    case memoryview():
                        body += event
            if len(body) > MAX_RESPONSE_BYTES:
                raise PlatformError("the platform's response is too large")
            await self._read_into(buffer)

    async def _read_into(self, buffer: Buffer) -> None:
        assert self._reader is not None
        data = await self._reader.read(READ_SIZE)
        if not data:
            raise ConnectionResetError("the platform closed the connection")
        buffer.room(len(data))[: len(data)] = data
        buffer.filled(len(data))
