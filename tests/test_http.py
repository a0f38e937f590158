# SPDX-License-Identifier: MIT
"""Callers' connections: slow heads, slow bodies, the connection limit, disconnects."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from cluster import Cluster, wait_until

_LIMITS = {"header_timeout_ms": 500, "body_timeout_ms": 500, "connections_max": 12}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """One box with low HTTP limits."""
    folder = tmp_path_factory.mktemp("http")
    with Cluster(folder, zones="a", controllers=1, overrides={"http": _LIMITS}) as running:
        yield running


def _connect(cluster: Cluster) -> socket.socket:
    return socket.create_connection(("127.0.0.1", cluster.http_ports["a1"]), timeout=10)


class TestSlowCallers:
    """Callers that exceed the head or body timeout."""

    def test_slow_head_is_closed(self, cluster: Cluster) -> None:
        """A connection without a complete head is closed and counted."""
        with _connect(cluster) as connection:
            connection.sendall(b"PUT /v1/jobs/slow HTTP/1.1\r\nHost: x\r\n")
            assert connection.recv(1) == b""
        assert cluster.status("a1")["metrics"]["http.header-timeouts"] >= 1

    def test_slow_body_is_answered(self, cluster: Cluster) -> None:
        """An incomplete body gets 408 and "may have run": it may be a resubmission."""
        with _connect(cluster) as connection:
            head = b"PUT /v1/jobs/drip HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n{"
            connection.sendall(head)
            answer = connection.recv(65_536)
        assert answer.startswith(b"HTTP/1.1 408")
        assert b"may-have-run" in answer


class TestManyConnections:
    """The connection limit, and a caller that disconnects."""

    def test_over_the_bound_is_closed_and_freed_again(self, cluster: Cluster) -> None:
        """Connections over the limit are closed; closed connections are subtracted again."""
        connections = [_connect(cluster) for _ in range(12)]
        try:
            with _connect(cluster) as extra:
                assert extra.recv(1) == b""
        finally:
            for connection in connections:
                connection.close()
        wait_until(lambda: cluster.submit("a1", "room", [{"ms": 1}]).status == 200, "room again")

    def test_disconnect_does_not_stop_the_job(self, cluster: Cluster) -> None:
        """A job goes on after its caller disconnects; a resubmission gets the answer."""
        body = b'{"service":"sleep","member":"m1","tasks":[{"payload":{"ms":300}}]}'
        head = f"PUT /v1/jobs/cut HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        with _connect(cluster) as connection:
            connection.sendall(head.encode() + body)
            wait_until(lambda: "cut/0" in cluster.starts(), "the job began")
        time.sleep(0.1)
        assert cluster.submit("a1", "cut", [{"ms": 300}]).status == 200
        assert cluster.starts()["cut/0"] == 1
