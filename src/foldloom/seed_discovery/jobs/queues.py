# SPDX-License-Identifier: MIT
"""Queues, and the mapping of requests to queues."""

from __future__ import annotations

from typing import NamedTuple


class Queue(NamedTuple):
    """A job queue.

    Args:
        name: Its name.
        host: Host name of its requests.
        path_prefix: Path prefix of its requests.
        service: The service whose endpoints run its tasks.
        priority: 0 is the highest.
        attempts_max: Failed runs of one task after which its job fails.
        timeout_ms: Request timeout if the request sets none.
        stretch: A job's objective is this factor times its critical path, ...
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

    def objective_ms(self, critical_path_ms: float) -> float:
        """Return the latency objective of a job with a critical path of *critical_path_ms*."""
        return self.stretch * critical_path_ms + self.slack_ms


class QueueTable:
    """The queues of one configuration version.

    Args:
        version: The operator's version number.
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
        """The operator's version number of the configuration."""
        return self._version

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of *host* with the longest prefix of *path*, or ``None``."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
