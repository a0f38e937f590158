# SPDX-License-Identifier: MIT
"""Write the tables of docs/design/placement.md from the committed raw figures."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

_HERE = Path(__file__).parent
_PAGE = _HERE.parent / "docs" / "design" / "placement.md"
_POLICIES = ("slot-leases", "least-local-count", "power-of-two", "random")


def _replace_section(page: str, name: str, table: list[str], writer: str) -> str:
    begin, end = f"<!-- {name}: begin; written by {writer} -->", f"<!-- {name}: end -->"
    before, after = page.partition(begin)[0], page.partition(end)[2]
    return f"{before}{begin}\n\n" + "\n".join(table) + f"\n\n{end}{after}"


def placement_table(rows: list[dict[str, Any]]) -> list[str]:
    """Return the tables of policies and of the cost of slot leases."""
    points = sorted({(row["tasks"], row["share"]) for row in rows})
    lines = [
        "| tasks a job, load | " + " | ".join(_POLICIES) + " |",
        "|---" * (len(_POLICIES) + 1) + "|",
    ]
    for tasks, share in points:
        cells = []
        for policy in _POLICIES:
            matching_rows = [
                candidate
                for candidate in rows
                if (candidate["policy"], candidate["tasks"], candidate["share"])
                == (policy, tasks, share)
            ]
            cells.append(
                ", ".join(
                    f"{candidate['p50']:.2f} / {candidate['p99']:.2f}"
                    for candidate in matching_rows
                )
                or "not run"
            )
        lines.append(f"| {tasks}, {share:.0%} | " + " | ".join(cells) + " |")
    lines += [
        "",
        "What slot leases cost in the same runs:",
        "",
        "| tasks a job, load | messages a task | envelopes a task | wasted a task "
        "| processor ms a task, nine boxes | largest RSS, MB | outcomes | refusal ms p50 |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        if row["policy"] == "slot-leases":
            outcomes = ", ".join(f"{key} {count}" for key, count in row["outcomes"].items())
            lines.append(
                f"| {row['tasks']}, {row['share']:.0%} | {row['messages_a_task']} "
                f"| {row['envelopes_a_task']} | {row['wasted_a_task']} | {row['cpu_ms_a_task']} "
                f"| {row['rss_mb']} | {outcomes} | {row['refusal_ms_p50']} |"
            )
    return lines


def fault_table(rows: list[dict[str, Any]]) -> list[str]:
    """Return the table of faults."""
    lines = [
        "| fault | outcomes | extra ms p99 before | in the worst second | steady after, s "
        "| most starts of a task |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        outcomes = ", ".join(f"{key} {count}" for key, count in row["outcomes"].items())
        lines.append(
            f"| {row['fault']} | {outcomes} | {row['extra_ms_p99_before']} "
            f"| {row['extra_ms_p99_worst_second']} | {row['steady_after_s']} "
            f"| {row['starts_of_a_task_max']} |"
        )
    return lines


def main() -> None:
    """Write both tables."""
    page = _PAGE.read_text(encoding="utf-8")
    writer = "benchmarks/placement_table.py"
    rows = [json.loads(line) for line in (_HERE / "placement.jsonl").read_text().splitlines()]
    page = _replace_section(page, "placement", placement_table(rows), writer)
    faults = json.loads((_HERE / "faults.json").read_text())
    page = _replace_section(page, "faults", fault_table(faults), writer)
    _PAGE.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
