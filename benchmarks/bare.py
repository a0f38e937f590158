# SPDX-License-Identifier: MIT
"""Compare task starts per CPU second of an entry box with those of a plain aiohttp client.

Run: ``.venv/bin/python benchmarks/bare.py``. Writes ``benchmarks/bare.json``.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import aiohttp
import uvloop
from rig import cpu_seconds, running_cluster, save_figures, start_load

_IN_FLIGHT = 256
_POSTS = 12_000
_SECONDS = 6
_TASKS = 64


async def _post_directly(urls: list[str]) -> dict[str, float]:
    """Post to the endpoints as fast as the client can, with 256 requests in flight."""
    body = {"attempt": "x", "lease": 1, "service": "sleep", "member": "m1", "deadline_ms": 1000}
    data = json.dumps({**body, "payload": {"ms": 1, "pad": "x" * 100}}).encode()
    numbers = iter(range(_POSTS))
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def post() -> None:
            for number in numbers:
                url = f"{urls[number % len(urls)]}/v1/tasks/bare/{number}"
                async with session.post(url, data=data) as response:
                    await response.read()

        cpu_s, start_s = time.process_time(), time.monotonic()
        await asyncio.gather(*(post() for _ in range(_IN_FLIGHT)))
        cpu_s, elapsed_s = time.process_time() - cpu_s, time.monotonic() - start_s
    return {"cpu_us_a_post": cpu_s / _POSTS * 1e6, "posts_per_s": _POSTS / elapsed_s}


def main() -> None:
    """Measure client and box in turn, two rounds."""
    rows: list[dict[str, Any]] = []
    with running_cluster(zones="a", controllers=1, endpoints_per_zone=8) as cluster:
        urls = [f"http://127.0.0.1:{spec.port}" for spec in cluster.endpoints]
        pid = cluster.processes["a1"].pid
        for round_number in range(2):
            bare = uvloop.run(_post_directly(urls))
            for rate in (300, 600):
                load = start_load(
                    cluster,
                    jobs_per_second=rate / _TASKS,
                    tasks=_TASKS,
                    seconds=_SECONDS + 2,
                    task_ms_min=1,
                    task_ms_max=20,
                    prefix=f"bare{round_number}-{rate}",
                )
                time.sleep(2)
                cpu_s = cpu_seconds(pid)
                before = cluster.status("a1")["metrics"]["tasks.started"]
                time.sleep(_SECONDS - 1)
                cpu_used_s = cpu_seconds(pid) - cpu_s
                started = cluster.status("a1")["metrics"]["tasks.started"] - before
                load.communicate(timeout=60)
                cpu_us_per_task = cpu_used_s / max(1, started) * 1e6
                rows.append(
                    {
                        **bare,
                        "round": round_number,
                        "rate": rate,
                        "cpu_us_a_task": cpu_us_per_task,
                        "starts_a_core_over_bare": bare["cpu_us_a_post"] / cpu_us_per_task,
                    }
                )
                print(json.dumps(rows[-1]), flush=True)
    save_figures(__file__, rows)


if __name__ == "__main__":
    main()
