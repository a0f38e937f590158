# SPDX-License-Identifier: MIT
"""Queues: where jobs are handed in, and how a request finds its own.

Owns nothing: types, and the match of a request to a queue. Relies on the published document for
the queues.
"""

from __future__ import annotations

from typing import NamedTuple


class Queue(NamedTuple):
    """One queue of jobs.

    Args:
        name: Its name.
        host: The host name that requests carry.
        path_prefix: What their path begins with.
        service: The service whose endpoints run its tasks.
        priority: 0 comes first.
        attempts_max: How many failed runs of one task fail its job.
        timeout_ms: How long a request may take if it doesn't say so itself.
        stretch: The objective of a job is this times its longest chain of work, ...
        slack_ms: ... plus this.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts_max: int = 1
    timeout_ms: int = 30_000
    stretch: float = 1.0
    slack_ms: int = 0

    def objective_ms(self, longest_ms: float) -> float:
        """Return how soon a job whose longest chain takes *longest_ms* should end."""
        return self.stretch * longest_ms + self.slack_ms


class QueueTable:
    """The queues of one version of the configuration.

    Args:
        version: The operator's number.
        queues: All queues.
    """

    def __init__(self, version: int, queues: list[Queue]) -> None:
        self._version = version
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        for host_queues in self._queues_by_host.values():
            host_queues.sort(key=lambda queue: len(queue.path_prefix), reverse=True)

    @property
    def version(self) -> int:
        """The operator's number of this configuration."""
        return self._version

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of *host* with the longest prefix of *path*, if any."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
