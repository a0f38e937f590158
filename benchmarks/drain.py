# SPDX-License-Identifier: MIT
"""Measure the time of the last task start on an endpoint that is drained under load.

Run: ``.venv/bin/python benchmarks/drain.py``. Nine boxes at 60% of the slots; three fast endpoints
are drained in turn. Times count from sending the confirm. Writes ``benchmarks/drain.json``.
"""

from __future__ import annotations

import time

from rig import SCENARIOS, running_scenario, save_figures, start_load

from cluster import http

_SECONDS = 18


def main() -> None:
    """Run the measurements."""
    scenario = SCENARIOS["sahulat"]
    confirm_times = {}
    rows = []
    with running_scenario(scenario) as cluster:
        rate = scenario.tasks_per_second * 0.6
        load = start_load(cluster, jobs_per_second=rate, seconds=_SECONDS)
        time.sleep(6)
        for name in ("aw1", "bw2", "cw1"):
            confirm_times[name] = time.time()
            cluster.confirm([{"kind": "worker-leaving", "name": name}])
            time.sleep(1)
        load.communicate(timeout=60)
        for spec in cluster.endpoints:
            if spec.name in confirm_times:
                fields = http("GET", f"http://127.0.0.1:{spec.port}/starts").fields
                last_start_s = max(fields["first_start_s"].values()) - confirm_times[spec.name]
                start_count = len(fields["first_start_s"])
                rows.append(
                    {
                        "worker": spec.name,
                        "last_start_after_s": round(last_start_s, 3),
                        "starts": start_count,
                    }
                )
    save_figures(__file__, rows)


if __name__ == "__main__":
    main()
