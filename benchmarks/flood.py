# SPDX-License-Identifier: MIT
"""Measure the service of a customer while another one overloads the system.

Run: ``.venv/bin/python benchmarks/flood.py``. Two customers of equal quota; one offers 40% of all
slots, below its share, the other 160%. Writes ``benchmarks/flood.json``.
"""

from __future__ import annotations

import json
import time
from collections import Counter

from rig import SCENARIOS, running_scenario, save_figures, start_load

_SECONDS = 12
_LOAD_SHARES = {"calm": 0.4, "flood": 1.6}


def main() -> None:
    """Run the measurement."""
    scenario = SCENARIOS["kestrelwood"]
    figures = {}
    with running_scenario(scenario) as cluster:
        members = [{"kind": "member", "name": name, "quota": 1} for name in _LOAD_SHARES]
        cluster.wait_version(cluster.confirm(members))
        loads = {}
        for seed, (name, share) in enumerate(_LOAD_SHARES.items()):
            loads[name] = start_load(
                cluster,
                jobs_per_second=scenario.tasks_per_second * share,
                seconds=_SECONDS,
                warmup_seconds=4,
                deadline_ms=5_000,
                members=name,
                seed=seed,
                samples=cluster.folder / name,
                prefix=name,
            )
        time.sleep(_SECONDS)
        for name, load in loads.items():
            load.communicate(timeout=120)
            samples = [
                json.loads(line) for line in (cluster.folder / name).read_text().splitlines()
            ]
            ratios = sorted(sample[1] / sample[2] for sample in samples if sample[3] == "complete")
            figures[name] = {
                "offered_share_of_slots": _LOAD_SHARES[name],
                "outcomes": dict(Counter(sample[3] for sample in samples)),
                "complete_of_offered": round(len(ratios) / len(samples), 3),
                "response_over_ideal_p50": round(ratios[len(ratios) // 2], 2),
                "response_over_ideal_p99": round(ratios[int(len(ratios) * 0.99)], 2),
            }
    save_figures(__file__, figures)


if __name__ == "__main__":
    main()
