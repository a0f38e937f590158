# SPDX-License-Identifier: MIT
"""Guards against requests mapped to the wrong queue."""

from __future__ import annotations

from foldloom.seed_discovery.jobs.queues import Queue, QueueTable

_TABLE = QueueTable(
    3,
    [
        Queue("short", "h", "/a/", "svc"),
        Queue("long", "h", "/a/b/", "svc", stretch=1.6, slack_ms=60),
        Queue("other", "g", "/a/", "svc"),
    ],
)


class TestFind:
    """Lookup by host and longest path prefix."""

    def test_longest_prefix(self) -> None:
        """The longest prefix of the path wins, whatever the order of the queues."""
        found = _TABLE.find("h", "/a/b/1")
        assert found is not None
        assert found.name == "long"

    def test_host(self) -> None:
        """Queues of different hosts may have the same path prefix."""
        found = _TABLE.find("g", "/a/b/1")
        assert found is not None
        assert found.name == "other"

    def test_none(self) -> None:
        """An unknown host or path has no queue."""
        assert _TABLE.find("x", "/a/1") is None
        assert _TABLE.find("h", "/b/1") is None


class TestObjective:
    """The latency objective of a job."""

    def test_stretch_and_slack(self) -> None:
        """The critical path is multiplied by the stretch, then the slack is added."""
        queue = Queue("q", "h", "/", "svc", stretch=1.6, slack_ms=60)
        assert queue.objective_ms(100.0) == 220.0
