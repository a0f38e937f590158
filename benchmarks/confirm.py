# SPDX-License-Identifier: MIT
"""Measure confirms, their propagation to nine boxes, restarts and catch-up after a partition.

Run: ``.venv/bin/python benchmarks/confirm.py``. Uses real fsync, with 5 ms added to each.
Writes ``benchmarks/confirm.json``.
"""

from __future__ import annotations

import statistics
import sys
import time
from pathlib import Path
from typing import Any

from rig import Cluster, cpu_seconds, running_cluster, save_figures

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from cluster import wait_until  # noqa: E402
from proxy import FaultProxy  # noqa: E402

_CHANGES = 500


def _confirm(cluster: Cluster, box: str, number: int) -> tuple[float, int]:
    """Confirm a change; return its latency in milliseconds, without the plan, and its version."""
    intents = [{"kind": "member", "name": "m1", "quota": 1000 + number}]
    digest = cluster.plan(box, intents).fields["digest"]
    start_s = time.monotonic()
    answer = cluster.confirm_plan(box, digest, f"bench-{number}", intents)
    assert answer.status == 200, answer
    return (time.monotonic() - start_s) * 1_000, answer.fields["version"]


def _seconds_until(cluster: Cluster, version: int, boxes: list[str]) -> float:
    start_s = time.monotonic()
    cluster.wait_version(version, boxes)
    return time.monotonic() - start_s


def main() -> None:
    """Run the measurements."""
    proxy = FaultProxy()
    overrides = {"timings": {"sync_delay_ms": 5}}
    figures: dict[str, Any] = {}
    with running_cluster(
        boxes_per_zone=3, overrides=overrides, address_of=proxy.address_of
    ) as cluster:
        leader = next(
            name
            for name in cluster.controllers
            if cluster.status(name)["controller"]["leader"] == name
        )
        pid = cluster.processes[leader].pid
        cpu = cpu_seconds(pid)
        start_s = time.monotonic()
        confirm_ms, propagation_s, version = [], [], 0
        for number in range(_CHANGES):
            elapsed_ms, version = _confirm(cluster, cluster.boxes[number % 9], number)
            confirm_ms.append(elapsed_ms)
            if number % 25 == 0:
                propagation_s.append(_seconds_until(cluster, version, cluster.boxes))
        figures["confirm_ms_p50"] = statistics.median(confirm_ms)
        figures["confirm_ms_p99"] = statistics.quantiles(confirm_ms, n=100)[98]
        figures["in_force_on_9_boxes_s_max"] = max(propagation_s)
        figures["leader_cpu_s_a_change"] = (cpu_seconds(pid) - cpu) / _CHANGES
        figures["changes_a_second"] = _CHANGES / (time.monotonic() - start_s)
        controller = cluster.status(leader)["controller"]
        figures["bytes_written_a_change"] = controller["bytes_written"] / _CHANGES
        proxy.cut_zone("c")
        wait_until(lambda: not cluster.status("a1")["boxes"]["c2"]["is_live"], "cut")
        _, version = _confirm(cluster, "a1" if leader[0] != "c" else "b1", 10_000)
        time.sleep(3)
        proxy.heal()
        figures["catch_up_after_heal_s"] = _seconds_until(cluster, version, ["c1", "c2", "c3"])
        for box in cluster.boxes:
            cluster.kill(box)
        start_s = time.monotonic()
        for box in cluster.boxes:
            cluster.start_box(box)
        cluster.wait_version(version)
        figures["restart_of_all_s"] = time.monotonic() - start_s
    proxy.close()
    save_figures(__file__, figures)


if __name__ == "__main__":
    main()
