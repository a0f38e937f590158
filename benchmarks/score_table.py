# SPDX-License-Identifier: MIT
"""Write the table of docs/design/scheduling.md from the latest full scores in journal/.

Run: ``.venv/bin/python benchmarks/score_table.py``.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

_ROOT = Path(__file__).parent.parent
_PAGE = _ROOT / "docs" / "design" / "scheduling.md"
_BEGIN = "<!-- scores: begin; written by benchmarks/score_table.py -->"
_END = "<!-- scores: end -->"
_PRICES_SHOWN = 3


class ScoreRun(NamedTuple):
    """A scoring run of the users' bench.

    Args:
        run: Short id of the run.
        site: Name of the deployment.
        score: Score over the standard days; ``None`` if some were not run.
        days: Results of each day.
    """

    run: str
    site: str
    score: float | None
    days: list[dict[str, Any]]


def read_scores(folder: Path) -> list[ScoreRun]:
    """Return the latest full score of each site in *folder*."""
    latest_by_site: dict[str, ScoreRun] = {}
    for path in sorted(folder.glob("*.json")):
        fields = json.loads(path.read_text(encoding="utf-8"))
        is_full_score = fields["cmd"] == "score" and "--quick" not in fields["argv"]
        if is_full_score and fields.get("score") is not None:
            entry = ScoreRun(fields["id"], fields["site"], fields["score"], fields["days"])
            latest_by_site[entry.site] = entry
    return list(latest_by_site.values())


def score_table(entries: list[ScoreRun]) -> list[str]:
    """Return the table: score, components, highest prices and broken rules of each day."""
    lines = [
        "| site, run | day | score | worth | marks 0 and 1 | whole, worst windows, kind, zone "
        "| refused, failed | dearest prices | rules broken |",
        "|---" * 9 + "|",
    ]
    for entry in entries:
        lines.extend(_day_row(entry, day) for day in entry.days)
        lines.append(f"| {entry.site}, {entry.run} | **site** | **{entry.score}** | | | | | | |")
    return lines


def _day_row(entry: ScoreRun, day: dict[str, Any]) -> str:
    parts = {name.split()[-1]: value for name, _, value in day["parts"]}
    components = ", ".join(
        f"{parts[name]:.2f}" for name in ("day", "windows", "class", "zone") if name in parts
    )
    highest_prices = sorted(day["prices"], key=lambda price: -price[2])[:_PRICES_SHOWN]
    prices = ", ".join(f"{name} {price:.3f}" for name, _, price in highest_prices if price > 0)
    broken_rules = ", ".join(f"{rule} {count}" for rule, count in day["rules"].items()) or "none"
    return (
        f"| {entry.site}, {entry.run} | {day['name']} | {day['score']:.2f} | {day['G']:.3f} "
        f"| {day['naive']:.2f}, {day['top']:.2f} | {components} "
        f"| {day['refused']:.3f}, {day['failed']:.3f} | {prices} | {broken_rules} |"
    )


def main() -> None:
    """Replace the table in the page."""
    page = _PAGE.read_text(encoding="utf-8")
    before, after = page.partition(_BEGIN)[0], page.partition(_END)[2]
    table = "\n".join(score_table(read_scores(_ROOT / "journal")))
    _PAGE.write_text(f"{before}{_BEGIN}\n\n{table}\n\n{_END}{after}", encoding="utf-8")


if __name__ == "__main__":
    main()
