# SPDX-License-Identifier: MIT
"""Guards placement against draining, frozen, slow and dead endpoints, and lost lease managers."""

from __future__ import annotations

import itertools
import json
import signal
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest

from cluster import Cluster, free_port, http, wait_until


def _starts_on(cluster: Cluster, endpoint: str) -> int:
    port = next(spec.port for spec in cluster.endpoints if spec.name == endpoint)
    return sum(http("GET", f"http://127.0.0.1:{port}/starts").fields["starts"].values())


def _run_jobs(cluster: Cluster, prefix: str, jobs: int, tasks: int = 2) -> list[int]:
    def run(number: int) -> int:
        box = cluster.boxes[number % len(cluster.boxes)]
        return cluster.submit(box, f"{prefix}-{number}", [{"ms": 20}] * tasks).status

    with ThreadPoolExecutor(8) as pool:
        return list(pool.map(run, range(jobs)))


class TestLeavingEndpoints:
    """Leaving endpoints get no new tasks."""

    def test_by_confirmed_intent(self, tmp_path: Path) -> None:
        """An endpoint drained by a confirmed intent gets no new tasks."""
        with Cluster(tmp_path) as cluster:
            assert set(_run_jobs(cluster, "before", 20)) == {200}
            version = cluster.confirm([{"kind": "worker-leaving", "name": "aw1"}])
            cluster.wait_version(version)
            wait_until(lambda: _gets_no_tasks(cluster, "aw1"), "aw1 gets no new tasks")
            before = _starts_on(cluster, "aw1")
            assert set(_run_jobs(cluster, "after", 40)) == {200}
            assert _starts_on(cluster, "aw1") == before

    def test_by_platform_list(self, tmp_path: Path) -> None:
        """An endpoint that the platform lists as leaving gets no new tasks."""
        listed: list[dict[str, str]] = []

        class Handler(BaseHTTPRequestHandler):
            """Serves the platform's list."""

            def do_GET(self) -> None:  # noqa: N802
                """Send the list."""
                body = json.dumps({"boxes": listed}).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_arguments: object) -> None:
                """Suppress request logs."""

        port = free_port()
        server = ThreadingHTTPServer(("127.0.0.1", port), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        overrides = {"platform_url": f"http://127.0.0.1:{port}"}
        try:
            with Cluster(tmp_path, overrides=overrides) as cluster:
                listed.append({"name": "bw1", "state": "leaving"})
                for box in cluster.boxes:
                    wait_until(
                        lambda box=box: (
                            "Leaving according to the platform's list: bw1" in cluster.log(box)
                        ),
                        f"{box} has the list",
                    )
                wait_until(lambda: _gets_no_tasks(cluster, "bw1"), "bw1 gets no new tasks")
                before = _starts_on(cluster, "bw1")
                assert set(_run_jobs(cluster, "listed", 40)) == {200}
                assert _starts_on(cluster, "bw1") == before
        finally:
            server.shutdown()


def _gets_no_tasks(cluster: Cluster, endpoint: str) -> bool:
    before = _starts_on(cluster, endpoint)
    _run_jobs(cluster, f"quiet-{len(cluster.starts())}", 6)
    return _starts_on(cluster, endpoint) == before


class TestFaultyEndpoints:
    """Endpoints that hang, slow down or crash."""

    @pytest.fixture
    def cluster(self, tmp_path: Path) -> Iterator[Cluster]:
        """Three boxes and three endpoints."""
        with Cluster(tmp_path) as running:
            yield running

    def test_frozen_endpoint(self, cluster: Cluster) -> None:
        """A frozen endpoint is ejected without failing jobs, and restored after it resumes."""
        assert set(_run_jobs(cluster, "warm", 30)) == {200}
        cluster.signal("workers-a", signal.SIGSTOP)
        with ThreadPoolExecutor(8) as pool:
            hung = [
                pool.submit(cluster.submit, "a1", f"hung-{n}", [{"ms": 20}] * 6) for n in range(4)
            ]
            wait_until(lambda: _logged(cluster, "Ejected aw1"), "aw1 is ejected")
            assert set(_run_jobs(cluster, "meanwhile", 30)) == {200}
            cluster.signal("workers-a", signal.SIGCONT)
            assert {submission.result().status for submission in hung} == {200}
        rounds = itertools.count()
        wait_until(
            lambda: (
                _run_jobs(cluster, f"probe-{next(rounds)}", 4)
                and _logged(cluster, "aw1 is healthy again")
            ),
            "aw1 is back",
        )
        assert max(cluster.starts().values()) == 1

    def test_ten_times_slower(self, cluster: Cluster) -> None:
        """An endpoint ten times slower gets almost no tasks while others have free slots."""
        assert set(_run_jobs(cluster, "warm", 60)) == {200}
        cluster.control_endpoint("bw1", speed=0.1)

        def is_avoided() -> bool:
            before = _starts_on(cluster, "bw1")
            assert set(_run_jobs(cluster, f"slow-{len(cluster.starts())}", 24)) == {200}
            return _starts_on(cluster, "bw1") - before <= 2

        wait_until(is_avoided, "bw1 gets at most 2 of 48 tasks")

    def test_dead_endpoints_are_left_out(self, cluster: Cluster) -> None:
        """Jobs are still served after an endpoint's process is killed."""
        assert set(_run_jobs(cluster, "warm", 20)) == {200}
        cluster.kill("workers-c")
        assert set(_run_jobs(cluster, "gone", 40)) <= {200, 502}
        wait_until(lambda: set(_run_jobs(cluster, "later", 10)) == {200}, "served again")


def _logged(cluster: Cluster, text: str) -> bool:
    return any(f"place: {text}" in cluster.log(box) for box in cluster.boxes)


class TestLostManager:
    """Loss of the lease manager's box."""

    @pytest.mark.parametrize("how", ["kill", "freeze"])
    def test_another_takes_over(self, tmp_path: Path, how: str) -> None:
        """Other boxes' jobs complete after the lease manager is lost; no task starts twice."""
        with Cluster(tmp_path, boxes_per_zone=2) as cluster:
            assert set(_run_jobs(cluster, "warm", 12)) == {200}
            manager = next(
                box
                for box in cluster.boxes
                if cluster.status(box)["gauges"].get("leases.fleet", -1) >= 0
            )
            others = [box for box in cluster.boxes if box != manager]
            with ThreadPoolExecutor(16) as pool:
                submissions = [
                    pool.submit(
                        cluster.submit, others[n % len(others)], f"over-{n}", [{"ms": 100}] * 8
                    )
                    for n in range(16)
                ]
                wait_until(cluster.starts, "a task has started")
                if how == "kill":
                    cluster.kill(manager)
                else:
                    cluster.signal(manager, signal.SIGSTOP)
                answers = [submission.result() for submission in submissions]
            assert {answer.status for answer in answers} == {200}
            assert max(cluster.starts().values()) == 1
