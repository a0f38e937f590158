# SPDX-License-Identifier: MIT
"""HTTP client for many short calls to one address, with a pool of open connections.

Sends each request once and reports whether the peer ended the connection before it responded, so
that callers can tell what may have been executed. A general-purpose client spends several times
the processor time on such a call.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple, cast

import httptools

from foldloom.exceptions import ConnectFailedError, MalformedResponseError

# Idle connections are kept for this long; a new connection costs more than many calls.
_KEEPALIVE_S = 30.0
# Headers that delimit a body; without them it extends to the end of the connection.
_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class HttpResponse(NamedTuple):
    """The response to a call."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """A connection with at most one call in flight.

    Implements the callbacks of ``httptools.HttpResponseParser``.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[HttpResponse] | None = None
        self._body: list[bytes] = []
        self._has_begun = False
        self._has_headers = False
        self._has_length = False
        self.idle_since_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether another call can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    async def call(self, request: bytes) -> HttpResponse:
        """Send *request* and return the response."""
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the connection had ended before the call")
        self._response = asyncio.get_running_loop().create_future()
        self._body = []
        self._has_begun = self._has_headers = self._has_length = False
        self._transport.write(request)
        try:
            return await self._response
        finally:
            self._response = None

    def close(self) -> None:
        """Close the connection at once; an unanswered call fails."""
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self._response is None:
            # No call is in flight.
            self.close()
            return
        self._has_begun = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(MalformedResponseError(str(error)))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if exc is None and self._has_headers and not self._has_length:
            self._succeed()
        elif self._has_begun:
            self._fail(MalformedResponseError("the connection ended within the response"))
        else:
            self._fail(exc or ConnectionResetError("the peer ended the connection"))

    # httptools.HttpResponseParser.

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Note whether the body is delimited."""
        if name.lower() in _LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Note that the body begins."""
        self._has_headers = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Finish the call, unless the response is only informational."""
        if self._parser.get_status_code() >= 200:
            self._succeed()
            if not self._parser.should_keep_alive():
                self.close()

    def _succeed(self) -> None:
        if self._response is not None and not self._response.done():
            response = HttpResponse(self._parser.get_status_code(), b"".join(self._body))
            self._response.set_result(response)

    def _fail(self, error: Exception) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)


class HttpPool:
    """The connections to one address; calls to it run concurrently, each on its own connection.

    Args:
        address: ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._address = address
        self._idle: deque[_Connection] = deque()
        self._is_closed = False
        self._heads: dict[tuple[str, tuple[tuple[str, str], ...]], bytes] = {}

    def close(self) -> None:
        """Close the idle connections now, and the others after their calls."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    async def post(
        self, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> HttpResponse:
        """Send a ``POST`` request and return the response.

        Args:
            path: The path.
            headers: Headers beside ``Host`` and ``Content-Length``.
            body: The body.
            timeout_s: Limit for the whole call, including the connection if a new one is needed.

        Raises:
            TimeoutError: There was no whole response in time.
            ConnectFailedError: No connection could be opened.
            OSError: The connection ended before the response. Without a number, or with that of a
                reset, the peer ended it.
            MalformedResponseError: The response was not valid, or incomplete.
            ValueError: A header or the address is not valid.
        """
        head = self._head(path, headers)
        request = b"%b%d\r\n\r\n%b" % (head, len(body), body)
        async with asyncio.timeout(timeout_s):
            connection = self._take_idle() or await self._connect()
            try:
                response = await connection.call(request)
            except BaseException:
                connection.close()
                raise
        self._keep(connection)
        return response

    def _head(self, path: str, headers: Mapping[str, str]) -> bytes:
        """Return the head of a request, up to the value of ``Content-Length``."""
        key = (path, tuple(headers.items()))
        head = self._heads.get(key)
        if head is None:
            head = self._heads[key] = _encode_head(path, {"Host": self._address, **headers})
        return head

    def _take_idle(self) -> _Connection | None:
        """Return the idle connection that was used last, if any is open and recent."""
        oldest_s = time.monotonic() - _KEEPALIVE_S
        while self._idle and self._idle[0].idle_since_s < oldest_s:
            self._idle.popleft().close()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        return None

    async def _connect(self) -> _Connection:
        port = int(self._port)
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(_Connection, self._host.strip("[]"), port)
        except TimeoutError:
            raise
        except OSError as error:
            raise ConnectFailedError(error.errno, str(error)) from error
        return connection

    def _keep(self, connection: _Connection) -> None:
        if self._is_closed or not connection.is_open:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._idle.append(connection)


def _encode_head(path: str, headers: Mapping[str, str]) -> bytes:
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if any("\r" in line or "\n" in line or "\0" in line for line in lines):
        raise ValueError("a header contains a control character")
    return "\r\n".join([*lines, "Content-Length: "]).encode()
