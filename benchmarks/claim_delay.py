# SPDX-License-Identifier: MIT
"""Measure the delay that a claim adds to a job, at three job rates.

Run: ``.venv/bin/python benchmarks/claim_delay.py``. Nine boxes on loopback send their claim timers
by statsd. Writes ``benchmarks/claim_delay.json``.
"""

from __future__ import annotations

import json
import socket
import threading

from rig import SCENARIOS, running_scenario, save_figures, start_load

_TIMER = "foldloom.claim_ms:"
_SECONDS = 8


def _collect(listener: socket.socket, times_ms: list[float]) -> None:
    """Append claim timers to *times_ms* until the socket is closed."""
    while True:
        try:
            text = listener.recv(65_536).decode()
        except OSError:
            return
        for line in text.splitlines():
            if line.startswith(_TIMER):
                times_ms.append(float(line.removeprefix(_TIMER).partition("|")[0]))


def main() -> None:
    """Measure at three rates."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    overrides = {"statsd": {"host": "127.0.0.1", "port": listener.getsockname()[1]}}
    times_ms: list[float] = []
    threading.Thread(target=_collect, args=(listener, times_ms), daemon=True).start()
    rows = []
    with running_scenario(SCENARIOS["sahulat"], overrides=overrides) as cluster:
        for rate in (10, 100, 350):
            times_ms.clear()
            load = start_load(cluster, jobs_per_second=rate, seconds=_SECONDS)
            load.communicate(timeout=60)
            sorted_ms = sorted(times_ms)
            rows.append(
                {
                    "jobs_per_second": rate,
                    "claims": len(sorted_ms),
                    "claim_ms_p50": round(sorted_ms[len(sorted_ms) // 2], 3),
                    "claim_ms_p99": round(sorted_ms[int(len(sorted_ms) * 0.99)], 3),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    listener.close()
    save_figures(__file__, rows)


if __name__ == "__main__":
    main()
