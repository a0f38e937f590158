# SPDX-License-Identifier: MIT
"""The pool of connections to an endpoint: responses, ended connections, timeouts, reuse."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from cluster import free_port
from foldloom.exceptions import ConnectFailedError, MalformedResponseError
from foldloom.http_pool import HttpPool, HttpResponse

_TIMEOUT_S = 0.25
_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Answer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
    return head + await reader.readexactly(length)


class _Server:
    """A server that answers each request with the next of *answers*, the last one repeatedly."""

    def __init__(self, *answers: bytes | None) -> None:
        self._answers = list(answers)
        self.requests: list[bytes] = []
        self.connections = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                self.requests.append(await _read_request(reader))
                answer = self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]
                if answer is None:
                    await reader.read()
                    return
                writer.write(answer)
                if b"Content-Length" not in answer and b"chunked" not in answer:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def _play(server: _Server, scenario: Callable[[HttpPool], Awaitable[None]]) -> None:
    async def run() -> None:
        port = free_port()
        listener = await asyncio.start_server(server.handle, "127.0.0.1", port)
        pool = HttpPool(f"127.0.0.1:{port}")
        await scenario(pool)
        pool.close()
        listener.close()

    asyncio.run(run())


async def _post(pool: HttpPool, timeout_s: float = _TIMEOUT_S) -> HttpResponse:
    return await pool.post("/p", {"X-Id": "w1"}, b"{}", timeout_s)


class TestResponses:
    """Each way in which a body may be delimited."""

    @pytest.mark.parametrize(
        "answer",
        [
            _WHOLE,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
            b"HTTP/1.1 100 Continue\r\n\r\n" + _WHOLE,
        ],
    )
    def test_body(self, answer: bytes) -> None:
        """The body is whole, and the connection is used again if it may be."""
        server = _Server(answer)

        async def scenario(pool: HttpPool) -> None:
            for _ in range(3):
                assert await _post(pool) == HttpResponse(200, b"ok")

        _play(server, scenario)
        assert server.connections == (3 if b"close" in answer else 1)
        assert server.requests[0].endswith(b"X-Id: w1\r\nContent-Length: 2\r\n\r\n{}")

    def test_concurrent_calls(self) -> None:
        """Calls in flight at the same time have a connection each."""
        server = _Server(_WHOLE)

        async def scenario(pool: HttpPool) -> None:
            await asyncio.gather(*(_post(pool) for _ in range(4)))
            await asyncio.gather(*(_post(pool) for _ in range(4)))

        _play(server, scenario)
        assert server.connections == 4

    def test_header_with_line_break(self) -> None:
        """Guards against a name that adds a header or a request."""

        async def scenario(pool: HttpPool) -> None:
            with pytest.raises(ValueError, match="control character"):
                await pool.post("/p", {"X-Id": "w1\r\nX-Other: 1"}, b"", _TIMEOUT_S)

        _play(_Server(_WHOLE), scenario)


class TestFailures:
    """What the error says of the call: whether the peer ended the connection unanswered."""

    def test_ended_before_the_response(self) -> None:
        """The error has no number, as if the connection had ended before the call."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await _read_request(reader)
            writer.close()

        server = _Server(None)
        server.handle = handle  # type: ignore[method-assign]

        async def scenario(pool: HttpPool) -> None:
            with pytest.raises(ConnectionResetError) as raised:
                await _post(pool)
            assert raised.value.errno is None

        _play(server, scenario)

    def test_reset(self) -> None:
        """A reset has the system's number."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await _read_request(reader)
            own_socket = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        server = _Server(None)
        server.handle = handle  # type: ignore[method-assign]

        async def scenario(pool: HttpPool) -> None:
            with pytest.raises(ConnectionResetError):
                await _post(pool)

        _play(server, scenario)

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nConte",
            b"no HTTP at all\r\n\r\n",
        ],
    )
    def test_incomplete_response(self, answer: bytes) -> None:
        """The peer has begun to respond, so it has received the call."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await _read_request(reader)
            writer.write(answer)
            writer.close()

        server = _Server(None)
        server.handle = handle  # type: ignore[method-assign]

        async def scenario(pool: HttpPool) -> None:
            with pytest.raises(MalformedResponseError):
                await _post(pool)

        _play(server, scenario)

    def test_timeout(self) -> None:
        """The connection of a call that timed out is not used again: its response may come."""
        server = _Server(None, _WHOLE)

        async def scenario(pool: HttpPool) -> None:
            with pytest.raises(TimeoutError):
                await _post(pool, 0.05)
            assert await _post(pool) == HttpResponse(200, b"ok")

        _play(server, scenario)
        assert server.connections == 2

    def test_cancelled_call(self) -> None:
        """The same for a call whose caller is cancelled."""
        server = _Server(None, _WHOLE)

        async def scenario(pool: HttpPool) -> None:
            call = asyncio.create_task(_post(pool))
            await asyncio.sleep(0.05)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
            assert await _post(pool) == HttpResponse(200, b"ok")

        _play(server, scenario)
        assert server.connections == 2

    def test_refused_connection(self) -> None:
        """Nothing listens at the address."""

        async def run() -> None:
            with pytest.raises(ConnectFailedError) as raised:
                await _post(HttpPool(f"127.0.0.1:{free_port()}"))
            assert raised.value.errno is not None

        asyncio.run(run())


class TestClosedPool:
    """A pool that is closed while calls are in flight."""

    def test_its_calls_go_on(self) -> None:
        """They are answered, and their connections are not kept."""
        server = _Server(_WHOLE)

        async def scenario(pool: HttpPool) -> None:
            call = asyncio.create_task(_post(pool))
            await asyncio.sleep(0)
            pool.close()
            assert (await call).status == 200
            assert (await _post(pool)).status == 200

        _play(server, scenario)
        assert server.connections == 2
