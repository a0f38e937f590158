# SPDX-License-Identifier: MIT
"""Helpers of the benchmarks: scenarios, clusters, load, and resource usage of boxes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from cluster import Cluster  # noqa: E402

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEAN_TASK_MS = 275.0


class Scenario(NamedTuple):
    """The size of a deployment with three zones.

    Args:
        name: Name of the deployment.
        boxes_per_zone: Entry boxes per zone.
        endpoints_per_zone: Endpoints per zone; every third one runs at half speed.
        slots: Slots per endpoint.
    """

    name: str
    boxes_per_zone: int = 3
    endpoints_per_zone: int = 8
    slots: int = 8

    @property
    def tasks_per_second(self) -> float:
        """The task rate at which all slots are busy, with tasks of 50 to 500 ms."""
        endpoints = 3 * self.endpoints_per_zone
        slow = endpoints // 3
        return (endpoints - slow + slow * 0.5) * self.slots / (MEAN_TASK_MS / 1_000)


SCENARIOS = {"sahulat": Scenario("sahulat"), "kestrelwood": Scenario("kestrelwood")}


class ResourceUsage(NamedTuple):
    """Resources that boxes have used since their start.

    Args:
        cpu_s: User and system CPU seconds of all boxes.
        rss_bytes: Resident memory of the largest box.
        counters: Sum of each counter over the boxes.
    """

    cpu_s: float
    rss_bytes: int
    counters: dict[str, int]


@contextmanager
def running_cluster(**options: Any) -> Iterator[Cluster]:
    """Run a cluster in a temporary folder; *options* are passed to :class:`Cluster`."""
    with (
        tempfile.TemporaryDirectory(prefix="foldloom-bench-") as folder,
        Cluster(Path(folder), **options) as cluster,
    ):
        yield cluster


@contextmanager
def running_scenario(scenario: Scenario, **options: Any) -> Iterator[Cluster]:
    """Run a cluster of the scenario's size; *options* are passed to :class:`Cluster`."""
    with running_cluster(
        boxes_per_zone=scenario.boxes_per_zone,
        endpoints_per_zone=scenario.endpoints_per_zone,
        slow_every=3,
        **options,
    ) as cluster:
        yield cluster


def save_figures(script: str, figures: Any) -> None:
    """Print *figures* and write them to a ``.json`` file named after *script*."""
    text = json.dumps(figures, indent=1)
    Path(script).with_suffix(".json").write_text(text + "\n", encoding="utf-8")
    print(text)


def resource_usage(cluster: Cluster, boxes: list[str] | None = None) -> ResourceUsage:
    """Return the resources used by *boxes*, or by all boxes."""
    counters: dict[str, int] = {}
    cpu_s = 0.0
    rss_bytes = 0
    for box in boxes or cluster.boxes:
        pid = cluster.processes[box].pid
        cpu_s += cpu_seconds(pid)
        rss_bytes = max(rss_bytes, resident_bytes(pid))
        for name, count in cluster.status(box)["metrics"].items():
            counters[name] = counters.get(name, 0) + count
    return ResourceUsage(cpu_s, rss_bytes, counters)


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def start_load(cluster: Cluster, **options: Any) -> subprocess.Popen[bytes]:
    """Start ``foldloom load`` against all boxes; it prints JSON on standard output."""
    options.setdefault("urls", ",".join(cluster.url(box) for box in cluster.boxes))
    command = [sys.executable, "-m", "foldloom.cli.main", "load", "--json"]
    command += [f"--{key}={value}" for key, value in options.items()]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stdin=subprocess.DEVNULL)
