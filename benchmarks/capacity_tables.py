# SPDX-License-Identifier: MIT
"""Fit slopes to the raw figures and write the tables of docs/CAPACITY.md."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any, NamedTuple

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_BEGIN = "<!-- tables: begin; written by benchmarks/capacity.py -->"
_END = "<!-- tables: end -->"

ENDPOINTS = 1_700
TASKS_PER_S = 36_000
CUSTOMERS = 480
CHANGES_PER_DAY = 2_400
ENTRY_BOXES = 60
RETENTION_S = 180
MEAN_JOB_TASKS = 10
SHARD_ENDPOINTS = 64
REPLICAS = 3
CPU_BOUND = 0.019
MEMORY_BOUND_MB = 64
TRAFFIC_BOUND_BYTES = 20_000
DAY_S = 86_400


class Slope(NamedTuple):
    """A least-squares line; ``slope_error`` is the standard error of the slope."""

    intercept: float
    slope: float
    slope_error: float
    r_squared: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at *size*."""
        return self.intercept + self.slope * size


class Row(NamedTuple):
    """One row of the capacity table at the target size."""

    role: str
    metric: str
    value: float
    unit: str
    bound: float
    basis: str
    mechanism: str


def slope_of(pairs: list[list[float]]) -> Slope:
    """Return the least-squares line through *pairs*."""
    count = len(pairs)
    mean_x = sum(x for x, _ in pairs) / count
    mean_y = sum(y for _, y in pairs) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / sum_xx
    intercept = mean_y - slope * mean_x
    residual_sum = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    total_sum = sum((y - mean_y) ** 2 for _, y in pairs)
    slope_error = math.sqrt(residual_sum / max(1, count - 2) / sum_xx)
    return Slope(
        intercept, slope, slope_error, 1.0 if total_sum == 0 else 1 - residual_sum / total_sum
    )


def capacity_rows(slopes: dict[str, Slope]) -> list[Row]:
    """Return the cost of each role at the target size."""
    boxes = ENTRY_BOXES
    tasks = TASKS_PER_S / boxes
    jobs = tasks / MEAN_JOB_TASKS
    claims = jobs * RETENTION_S * REPLICAS
    shards = math.ceil(ENDPOINTS / SHARD_ENDPOINTS)
    shard_tasks = TASKS_PER_S / shards
    decision_us = slopes["decision_us_by_workers"].value_at(SHARD_ENDPOINTS)
    vote_s = slopes["claim_vote_cpu_s"].slope
    claim_bytes = slopes["claim_bytes"].slope
    change_rate = CHANGES_PER_DAY / DAY_S
    config_bytes = (
        slopes["config_bytes_by_workers"].value_at(ENDPOINTS)
        + slopes["config_bytes_by_members"].slope * CUSTOMERS
    )
    extrapolated = "slope, extrapolated"
    return [
        Row(
            "every box",
            "heartbeats: processor",
            slopes["idle_cpu_share_by_boxes"].value_at(boxes) * 100,
            "% of a core",
            CPU_BOUND * 100,
            extrapolated,
            "a heartbeat to each other box",
        ),
        Row(
            "every box",
            "heartbeats: traffic",
            slopes["idle_bytes_per_s_by_boxes"].value_at(boxes),
            "bytes/s",
            TRAFFIC_BOUND_BYTES,
            extrapolated,
            "a heartbeat to each other box",
        ),
        Row(
            "every box",
            "memory at rest",
            slopes["idle_rss_mb_by_boxes"].value_at(boxes),
            "MB",
            MEMORY_BOUND_MB,
            extrapolated,
            "Python and its libraries",
        ),
        Row(
            "every box",
            "configuration held",
            config_bytes / 1e6,
            "MB",
            MEMORY_BOUND_MB,
            extrapolated,
            "pull of change sets, whole only when far behind",
        ),
        Row(
            "entry: claim replica",
            "claims held",
            claims,
            "claims",
            math.inf,
            "worked out",
            "retention window; oldest dropped first",
        ),
        Row(
            "entry: claim replica",
            "claims: memory",
            claims * claim_bytes / 1e6,
            "MB",
            MEMORY_BOUND_MB,
            extrapolated,
            "one short tuple a claim",
        ),
        Row(
            "entry: claim replica",
            "claims: memory, single-task jobs only",
            claims * MEAN_JOB_TASKS * claim_bytes / 1e6,
            "MB",
            MEMORY_BOUND_MB,
            extrapolated,
            "one short tuple a claim",
        ),
        Row(
            "entry: claim replica",
            "votes: processor",
            jobs * REPLICAS * vote_s * 100,
            "% of a core",
            CPU_BOUND * 100,
            extrapolated,
            "votes in memory, no sync",
        ),
        Row(
            "entry: lease manager",
            "endpoints of a shard",
            SHARD_ENDPOINTS,
            "endpoints",
            math.inf,
            "setting",
            "shards of a zone by hash",
        ),
        Row(
            "entry: lease manager",
            "decisions: processor, a shard",
            shard_tasks * decision_us / 1e4,
            "% of a core",
            CPU_BOUND * 100,
            extrapolated,
            "one lease a task",
        ),
        Row(
            "entry: lease manager",
            "decisions: processor, spread over the entry boxes",
            shard_tasks * decision_us / 1e4 * shards / boxes,
            "% of a core",
            CPU_BOUND * 100,
            extrapolated,
            "one lease a task",
        ),
        Row(
            "entry: coordinator",
            "tasks in single-task jobs: processor, whole system",
            slopes["cpu_by_single_task_jobs"].slope * TASKS_PER_S,
            "cores",
            math.inf,
            extrapolated,
            "the tasks' own cost, not control",
        ),
        Row(
            "entry: coordinator",
            "tasks in jobs of 64: processor, whole system",
            slopes["cpu_by_batched_tasks"].slope * TASKS_PER_S,
            "cores",
            math.inf,
            extrapolated,
            "the tasks' own cost, not control",
        ),
        Row(
            "entry: coordinator",
            "one job of 1,700 tasks: processor",
            slopes["cpu_s_by_tasks_of_one_job"].value_at(1_700),
            "core seconds",
            math.inf,
            "measured",
            "one coordinator a job",
        ),
        Row(
            "entry: coordinator",
            "kept answers: memory",
            slopes["rss_mb_by_kept_jobs"].slope * jobs * RETENTION_S,
            "MB",
            math.inf,
            extrapolated,
            "bounded in count and bytes",
        ),
        Row(
            "controller: leader",
            "changes: processor",
            change_rate * slopes["change_cpu_s"].slope * 100,
            "% of a core",
            CPU_BOUND * 100,
            extrapolated,
            "one entry a change, group sync",
        ),
        Row(
            "controller: leader",
            "changes: log a day",
            CHANGES_PER_DAY * slopes["change_log_bytes"].slope / 1e6,
            "MB",
            math.inf,
            extrapolated,
            "snapshot after 200 entries",
        ),
        Row(
            "controller: leader",
            "snapshot",
            slopes["change_snapshot_bytes"].value_at(800) / 1e6,
            "MB",
            MEMORY_BOUND_MB,
            "measured at 1,700 endpoints and 480 teams",
            "whole state in one record",
        ),
        Row(
            "controller: follower",
            "log traffic",
            change_rate * slopes["change_log_bytes"].slope,
            "bytes/s",
            TRAFFIC_BOUND_BYTES,
            extrapolated,
            "one append a change",
        ),
        Row(
            "command-line tool",
            "configuration, one query",
            config_bytes / 1e6,
            "MB",
            math.inf,
            extrapolated,
            "whole configuration in one answer",
        ),
    ]


def write_tables(figures: dict[str, Any]) -> None:
    """Replace the tables of the page by those of *figures*."""
    slopes = {name: slope_of(pairs) for name, pairs in figures.items()}
    page = PAGE.read_text(encoding="utf-8")
    before, _, rest = page.partition(_BEGIN)
    after = rest.partition(_END)[2]
    tables = f"{_slope_table(figures, slopes)}\n\n{_capacity_table(capacity_rows(slopes))}"
    PAGE.write_text(f"{before}{_BEGIN}\n\n{tables}\n\n{_END}{after}", encoding="utf-8")


def _slope_table(figures: dict[str, Any], slopes: dict[str, Slope]) -> str:
    lines = [
        "| figure | sizes | at the smallest | at the largest | slope a unit | its error | R² |",
        "|---|---|---|---|---|---|---|",
    ]
    for name, slope in slopes.items():
        pairs = figures[name]
        sizes = ", ".join(f"{size:,.0f}" for size, _ in pairs)
        lines.append(
            f"| `{name}` | {sizes} | {_rounded(pairs[0][1])} | {_rounded(pairs[-1][1])} "
            f"| {_rounded(slope.slope)} | {_rounded(slope.slope_error)} | {slope.r_squared:.3f} |"
        )
    return "\n".join(lines)


def _capacity_table(rows: list[Row]) -> str:
    lines = [
        "| role | what | value | bound | carried? | basis | mechanism |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        bound = "none" if math.isinf(row.bound) else f"{_rounded(row.bound)} {row.unit}"
        verdict = "" if math.isinf(row.bound) else ("yes" if row.value <= row.bound else "**no**")
        lines.append(
            f"| {row.role} | {row.metric} | {_rounded(row.value)} {row.unit} | {bound} | {verdict} "
            f"| {row.basis} | {row.mechanism} |"
        )
    return "\n".join(lines)


def _rounded(value: float) -> str:
    """Format *value* with three significant digits."""
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{digits}f}"
