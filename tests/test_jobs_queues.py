# SPDX-License-Identifier: MIT
"""How a request finds its queue."""

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
    """Host and longest prefix."""

    def test_longest_prefix(self) -> None:
        """The longest prefix of the path wins, whatever the order."""
        found = _TABLE.find("h", "/a/b/1")
        assert found is not None
        assert found.name == "long"

    def test_host(self) -> None:
        """The same path under another host is another queue."""
        found = _TABLE.find("g", "/a/b/1")
        assert found is not None
        assert found.name == "other"

    def test_none(self) -> None:
        """An unknown host or path has no queue."""
        assert _TABLE.find("x", "/a/1") is None
        assert _TABLE.find("h", "/b/1") is None


class TestObjective:
    """How soon a job should end."""

    def test_stretch_and_slack(self) -> None:
        """The longest chain is stretched, then the slack is added."""
        queue = Queue("q", "h", "/", "svc", stretch=1.6, slack_ms=60)
        assert queue.objective_ms(100.0) == 220.0
