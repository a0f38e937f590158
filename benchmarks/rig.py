# SPDX-License-Identifier: MIT
"""What the benchmarks share: scenarios, clusters, processor time and messages of boxes."""

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
    """A size of today.

    Args:
        name: Whose.
        boxes_per_zone: Entry boxes in each of three zones.
        endpoints_per_zone: Endpoints in each; each third one runs at half speed.
        slots: Slots of an endpoint.
    """

    name: str
    boxes_per_zone: int = 3
    endpoints_per_zone: int = 8
    slots: int = 8

    @property
    def tasks_per_second(self) -> float:
        """The rate that keeps every slot busy, with tasks of 50 to 500 ms."""
        endpoints = 3 * self.endpoints_per_zone
        slow = endpoints // 3
        return (endpoints - slow + slow * 0.5) * self.slots / (MEAN_TASK_MS / 1_000)


SCENARIOS = {"sahulat": Scenario("sahulat"), "kestrelwood": Scenario("kestrelwood")}


class ResourceUsage(NamedTuple):
    """What the boxes have used so far, added up.

    Args:
        cpu_s: Processor seconds, user and system.
        rss_bytes: Resident memory of the largest box.
        counts: Every counter, added up over the boxes.
    """

    cpu_s: float
    rss_bytes: int
    counters: dict[str, int]


@contextmanager
def running_cluster(**options: Any) -> Iterator[Cluster]:
    """Run a cluster in a folder that is removed afterwards; *options* are those of Cluster."""
    with (
        tempfile.TemporaryDirectory(prefix="foldloom-bench-") as folder,
        Cluster(Path(folder), **options) as cluster,
    ):
        yield cluster


@contextmanager
def running_scenario(scenario: Scenario, **options: Any) -> Iterator[Cluster]:
    """Run the scenario's cluster; *options* are further ones of Cluster."""
    with running_cluster(
        boxes_per_zone=scenario.boxes_per_zone,
        endpoints_per_zone=scenario.endpoints_per_zone,
        slow_every=3,
        **options,
    ) as cluster:
        yield cluster


def save_figures(script: str, figures: Any) -> None:
    """Write *figures* beside *script*, with the ending ``.json``, and print them."""
    text = json.dumps(figures, indent=1)
    Path(script).with_suffix(".json").write_text(text + "\n", encoding="utf-8")
    print(text)


def resource_usage(cluster: Cluster, boxes: list[str] | None = None) -> ResourceUsage:
    """Return what the boxes have used so far."""
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
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return a process's resident memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def start_load(cluster: Cluster, **options: Any) -> subprocess.Popen[bytes]:
    """Start ``foldloom load`` against every box; its JSON comes on standard output."""
    options.setdefault("urls", ",".join(cluster.url(box) for box in cluster.boxes))
    command = [sys.executable, "-m", "foldloom.cli.main", "load", "--json"]
    command += [f"--{key}={value}" for key, value in options.items()]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stdin=subprocess.DEVNULL)
