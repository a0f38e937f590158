# SPDX-License-Identifier: MIT
"""The delay that a claim adds to a job, from the boxes' own timers, without load and with some.

Run: ``.venv/bin/python benchmarks/claim_delay.py``. Nine boxes on loopback; the timers arrive by
statsd. Writes ``benchmarks/claim_delay.json``.
"""

from __future__ import annotations

import json
import socket
import threading

from rig import SCENARIOS, running_scenario, save_figures, start_load

_TIMER = "foldloom.claim_ms:"
_SECONDS = 8


def _collect(listener: socket.socket, into: list[float]) -> None:
    """Take claim timers until the socket is closed."""
    while True:
        try:
            text = listener.recv(65_536).decode()
        except OSError:
            return
        for line in text.splitlines():
            if line.startswith(_TIMER):
                into.append(float(line.removeprefix(_TIMER).partition("|")[0]))


def main() -> None:
    """Measure at three rates."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    overrides = {"statsd": {"host": "127.0.0.1", "port": listener.getsockname()[1]}}
    times: list[float] = []
    threading.Thread(target=_collect, args=(listener, times), daemon=True).start()
    rows = []
    with running_scenario(SCENARIOS["sahulat"], overrides=overrides) as cluster:
        for rate in (10, 100, 350):
            times.clear()
            load = start_load(cluster, jobs_per_second=rate, seconds=_SECONDS)
            load.communicate(timeout=60)
            ordered = sorted(times)
            rows.append(
                {
                    "jobs_per_second": rate,
                    "claims": len(ordered),
                    "claim_ms_p50": round(ordered[len(ordered) // 2], 3),
                    "claim_ms_p99": round(ordered[int(len(ordered) * 0.99)], 3),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    listener.close()
    save_figures(__file__, rows)


if __name__ == "__main__":
    main()
