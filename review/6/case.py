"""A worker leaves while a long task runs on it; an entry machine of its zone is down then."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from system import BROKEN, HELD, CannotRunError, Record, System, Worker, job, main, overlaps

JOB_ID = "00000000000000a6"
TASKS, TASK_MS, DEADLINE_MS = 8, 7_000, 12_000
# SYSTEM.md: drain_ms 2,000; "and a little longer".
DRAIN_S, LONGER_S = 2.0, 0.5
# `fleetbench kinds`: a kill lasts for_s, 5 s.
DOWN_S = 3.5


async def leave(system: System, worker: Worker) -> None:
    """Send DELETE, and end once it is answered, after a second at the latest."""
    url = f"http://{system.address('c0', 'control')}/foldloom/instances/{worker.name}"
    began_s = time.monotonic()
    status, _ = await system.call("DELETE", url, timeout_s=1.0)
    took_ms = (time.monotonic() - began_s) * 1_000
    worker.end()
    system.record.note(f"{worker.name} has sent DELETE ({status} after {took_ms:.0f} ms) and ends")


async def case(record: Record, has_trouble: bool) -> int:
    """Play the scenario; return the exit status."""
    async with System(record, entries="aaabbbcc", workers="a" * 6 + "b" * 5 + "c" * 5) as system:
        _, owner = system.owner("a")
        sent = asyncio.create_task(
            system.submit(owner, JOB_ID, job(TASKS, TASK_MS, cpu=3_000), DEADLINE_MS)
        )
        await asyncio.sleep(0.5)
        busy = {run.worker for run in system.runs if run.task.startswith(JOB_ID)}
        leaving = [worker for worker in system.workers if worker.name in busy][:1]
        if not leaving:
            raise CannotRunError("no task has started")
        if has_trouble:
            for worker in leaving:
                worker.remaining_ms = int((DRAIN_S + LONGER_S) * 1_000)
                await worker.drain([system.address(name, "control") for name in system.boxes("c")])
                record.note(f"{worker.name} has told that it drains")
            await asyncio.sleep(DRAIN_S + LONGER_S)
            down = next(name for name in system.boxes("e", "a") if name != owner)
            await system.kill(down)
            await asyncio.sleep(0.3)
            await asyncio.gather(*(leave(system, worker) for worker in leaving))
            await asyncio.sleep(DOWN_S)
            await system.start(down)
        await sent
        found = overlaps(system.runs, record.now_ms())
        for one, other, lasted_ms in found:
            record.note(
                f"TWICE: {one.task} runs on {one.worker} (run {one.run_id}) and on "
                f"{other.worker} (run {other.run_id}) for {lasted_ms:.0f} ms"
            )
        return BROKEN if found else HELD


main(Path(__file__).resolve().parent, case)
