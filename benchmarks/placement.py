# SPDX-License-Identifier: MIT
"""Compare placement policies by response time, messages and CPU, for each load and job size.

Run: ``.venv/bin/python benchmarks/placement.py [--out FILE]``. Policies are interleaved: for each
seed, every policy runs every point. The ideal response time of a job is that of its longest task on
a full-speed endpoint.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

from rig import SCENARIOS, ResourceUsage, Scenario, resource_usage, running_scenario, start_load

from foldloom.cli.load import LoadOptions, LoadReport, Sample

POLICIES = ("slot-leases", "least-local-count", "power-of-two", "random")
_WASTED_PREFIX = "messages.wasted."
_GENERATOR_COUNT = 2


def measure(
    scenario: Scenario,
    policies: list[str],
    points: list[tuple[int, float]],
    seed: int,
    seconds: int,
) -> list[dict[str, Any]]:
    """Return one row for each policy and point (tasks per job, share of all slots)."""
    rows = []
    for policy in policies:
        with running_scenario(
            scenario, overrides={"policy": policy, "logs": {"level": "INFO"}}
        ) as cluster:
            _run(cluster, scenario, 1, 0.5, seed, 6)
            for tasks, share in points:
                before = resource_usage(cluster)
                report = _run(cluster, scenario, tasks, share, seed, seconds)
                row = _point_figures(report, before, resource_usage(cluster), seconds)
                rows.append({"policy": policy, "tasks": tasks, "share": share, "seed": seed, **row})
                print(json.dumps(rows[-1]), flush=True)
    return rows


def _run(
    cluster: Any, scenario: Scenario, tasks: int, share: float, seed: int, seconds: int
) -> LoadReport:
    """Send load from several processes, so that the load generator is not the bottleneck."""
    rate = scenario.tasks_per_second * share / tasks / _GENERATOR_COUNT
    files = [cluster.folder / f"samples-{number}" for number in range(_GENERATOR_COUNT)]
    loads = [
        start_load(
            cluster,
            jobs_per_second=rate,
            tasks=tasks,
            seed=seed * 100 + number,
            seconds=seconds,
            warmup_seconds=seconds // 5,
            deadline_ms=5_000,
            samples=file,
            prefix=f"load{number}",
        )
        for number, file in enumerate(files)
    ]
    for load in loads:
        load.communicate(timeout=seconds + 120)
    samples = [
        Sample(*json.loads(line)) for file in files for line in file.read_text().splitlines()
    ]
    return LoadReport(LoadOptions(tasks=tasks), samples)


def _point_figures(
    load_report: LoadReport, before: ResourceUsage, after: ResourceUsage, seconds: int
) -> dict[str, Any]:
    """Return the figures of one point."""
    report_fields = load_report.fields()
    counters = {key: after.counters[key] - before.counters.get(key, 0) for key in after.counters}
    started = max(1, counters.get("tasks.started", 0))
    wasted = {
        key: count for key, count in counters.items() if key.startswith(_WASTED_PREFIX) and count
    }
    sent = {
        key.removeprefix("messages.sent."): round(count / started, 3)
        for key, count in sorted(counters.items())
        if key.startswith("messages.sent.") and count
    }
    ratios = report_fields["response_over_ideal"]
    complete = report_fields["outcomes"].get("complete", 0)
    return {
        "jobs": report_fields["jobs"],
        "complete": complete,
        "not_whole": report_fields["not_whole"],
        "p50": ratios["p50"],
        "p99": ratios["p99"],
        "p99.9": ratios["p99.9"],
        "refusal_ms_p50": report_fields["refusal_ms"]["p50"],
        "outcomes": report_fields["outcomes"],
        "messages_a_task": round(sum(sent.values()) - sent.get("Heartbeat", 0), 3),
        "envelopes_a_task": round(counters.get("envelopes.sent", 0) / started, 3),
        "wasted_a_task": round(
            (sum(wasted.values()) + counters.get("tasks.retried", 0)) / started, 4
        ),
        "sent_a_task": sent,
        "wasted": wasted,
        "cpu_ms_a_task": round((after.cpu_s - before.cpu_s) * 1_000 / started, 3),
        "rss_mb": round(after.rss_bytes / 1e6, 1),
        "tasks_per_second": round(started / seconds, 1),
    }


def main() -> None:
    """Run the measurements; write the rows if ``--out`` is given."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--scenario", default="sahulat", choices=SCENARIOS)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--tasks", default="1,8")
    parser.add_argument("--shares", default="0.3,0.6,0.8,0.95,1.2")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    points = [
        (int(tasks), float(share))
        for tasks in options.tasks.split(",")
        for share in options.shares.split(",")
    ]
    rows = []
    for seed in options.seeds.split(","):
        rows += measure(
            SCENARIOS[options.scenario],
            options.policies.split(","),
            points,
            int(seed),
            options.seconds,
        )
    if options.out:
        lines = "\n".join(json.dumps(row) for row in rows)
        Path(options.out).write_text(lines + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
