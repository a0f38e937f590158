# SPDX-License-Identifier: MIT
"""Measure failed jobs, delay and recovery time of faults under load.

Run: ``.venv/bin/python benchmarks/faults.py [NAME ...]``. Nine boxes, single-task jobs, 60% of the
slots; the fault is injected at 4 s and undone at 8 s. Writes ``benchmarks/faults.json``.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rig import SCENARIOS, Cluster, running_cluster, save_figures, start_load

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from proxy import FaultProxy  # noqa: E402

_FAULT_S = 4.0
_HEAL_S = 8.0
_SECONDS = 13

FaultAction = Callable[[Cluster, FaultProxy], None]


def _lease_manager(cluster: Cluster) -> str:
    return next(box for box in cluster.boxes if "leases.fleet" in cluster.status(box)["gauges"])


def _drain(cluster: Cluster, _proxy: FaultProxy) -> None:
    cluster.confirm([{"kind": "worker-leaving", "name": "aw1"}])


def _no_action(_cluster: Cluster, _proxy: FaultProxy) -> None:
    return


FAULTS: dict[str, tuple[FaultAction, FaultAction]] = {
    "none": (_no_action, _no_action),
    "workers of a zone killed": (lambda c, _p: c.kill("workers-a"), _no_action),
    "workers of a zone frozen": (
        lambda c, _p: c.signal("workers-a", signal.SIGSTOP),
        lambda c, _p: c.signal("workers-a", signal.SIGCONT),
    ),
    "a worker ten times slower": (
        lambda c, _p: c.control_endpoint("aw1", speed=0.1),
        lambda c, _p: c.control_endpoint("aw1", speed=1.0),
    ),
    "a worker drained": (_drain, _no_action),
    "lease manager killed": (lambda c, _p: c.kill(_lease_manager(c)), _no_action),
    "zone cut and healed": (lambda _c, p: p.cut_zone("a"), lambda _c, p: p.heal()),
}


def run(name: str) -> dict[str, Any]:
    """Run one fault and return its figures."""
    inject, heal = FAULTS[name]
    proxy = FaultProxy()
    scenario = SCENARIOS["sahulat"]
    try:
        with running_cluster(
            boxes_per_zone=3,
            endpoints_per_zone=8,
            slow_every=3,
            address_of=proxy.address_of,
        ) as cluster:
            rate = scenario.tasks_per_second * 0.6
            start_load(cluster, jobs_per_second=rate, seconds=5).communicate(timeout=60)
            file = cluster.folder / "samples"
            load = start_load(
                cluster,
                jobs_per_second=rate,
                seconds=_SECONDS,
                deadline_ms=5_000,
                samples=file,
            )
            time.sleep(_FAULT_S + 1)
            inject(cluster, proxy)
            time.sleep(_HEAL_S - _FAULT_S)
            heal(cluster, proxy)
            load.communicate(timeout=120)
            samples = [json.loads(line) for line in file.read_text().splitlines()]
            running = {
                zone for zone in "abc" if cluster.processes[f"workers-{zone}"].poll() is None
            }
            cluster.endpoints = [spec for spec in cluster.endpoints if spec.zone in running]
            max_starts = max(cluster.starts().values())
    finally:
        proxy.close()
    return {"fault": name, **_figures(samples), "starts_of_a_task_max": max_starts}


def _figures(samples: list[Any]) -> dict[str, Any]:
    delays_by_second: dict[int, list[float]] = {}
    for due_s, response_ms, ideal, outcome, _customer, _whole in samples:
        if outcome == "complete":
            delays_by_second.setdefault(int(due_s), []).append(response_ms - ideal)
    p99 = {
        second: sorted(delays)[int(len(delays) * 0.99)]
        for second, delays in sorted(delays_by_second.items())
    }
    baseline_p99 = max((p99[second] for second in p99 if 1 <= second < _FAULT_S), default=0.0)
    slow_seconds = [
        second for second in p99 if second >= _FAULT_S and p99[second] > 2 * baseline_p99 + 50
    ]
    failed_seconds = [sample[0] for sample in samples if sample[3] != "complete"]
    last_affected = max([*slow_seconds, *failed_seconds], default=_FAULT_S)
    return {
        "outcomes": dict(Counter(sample[3] for sample in samples)),
        "extra_ms_p99_before": round(baseline_p99, 1),
        "extra_ms_p99_worst_second": round(max(p99.values()), 1),
        "steady_after_s": round(max(0.0, last_affected + 1 - _FAULT_S), 1),
    }


def main() -> None:
    """Run the faults named on the command line, or all."""
    rows = []
    for name in sys.argv[1:] or FAULTS:
        rows.append(run(name))
        print(json.dumps(rows[-1]), flush=True)
    save_figures(__file__, rows)


if __name__ == "__main__":
    main()
