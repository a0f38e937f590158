"""Two owners of a zone are killed one after the other; a job of the first one is sent again.

Up to ROUNDS times, since each run must outlast both failovers by its lease.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from system import (
    BROKEN,
    HELD,
    ROUNDS_END_MS,
    CannotRunError,
    Record,
    System,
    job,
    main,
    overlaps,
)

ROUNDS = 8
# Like draft-reply in SYSTEM.md: estimated 900 ms, up to 3,600 ms, a deadline of 1,500 ms.
TASKS, TASK_MS, ESTIMATE_MS, DEADLINE_MS = 16, 2_400, 900, 1_500
# PROTOCOL.md: after a broken connection a job is sent again retransmit_ms later.
RETRANSMIT_S = 1.3
# How long the second owner's fencing token has been in use when it is killed.
SECOND_KILL_S = 0.22
RESTART_S = 3.0


async def play_round(system: System, number: int, has_trouble: bool) -> None:
    """Submit a job, kill its box and the next owner, and submit it again in another zone."""
    record, job_id = system.record, f"{0xA40 + number:016x}"
    token, first = system.owner("a")
    if not first:
        raise CannotRunError("no owner of zone a")
    body = job(TASKS, TASK_MS, estimate_ms=ESTIMATE_MS)
    sent = asyncio.create_task(system.submit(first, job_id, body, DEADLINE_MS))
    await asyncio.sleep(0.4)
    started = [run for run in system.runs if run.task.startswith(job_id)]
    if len(started) < TASKS:
        raise CannotRunError(f"{len(started)} of {TASKS} tasks have started")
    if not has_trouble:
        # Too long for its deadline: 504, and the client sends it again.
        await sent
        await asyncio.sleep(RETRANSMIT_S)
        await system.submit(system.boxes("e", "b")[0], job_id, body, DEADLINE_MS)
        return
    await system.kill(first)
    broken_s = time.monotonic()
    assert await sent == 0
    claimed_s = 0.0
    second_token, second = token, first
    while second_token == token and time.monotonic() < broken_s + 1.2:
        await asyncio.sleep(0.005)
        if not claimed_s and system.newest_token("a") > token:
            claimed_s = time.monotonic()
        # The log tells which box it is, up to 0.2 s later.
        second_token, second = system.owner("a")
    if second == first or not claimed_s:
        raise CannotRunError("no second owner of zone a")
    record.note(f"{second} has owned zone a for {time.monotonic() - claimed_s:.3f} s")
    await asyncio.sleep(max(0.0, claimed_s + SECOND_KILL_S - time.monotonic()))
    await system.kill(second)
    await asyncio.sleep(max(0.0, broken_s + RETRANSMIT_S - time.monotonic()))
    sent = asyncio.create_task(system.submit(system.boxes("e", "b")[0], job_id, body, DEADLINE_MS))
    await asyncio.sleep(RESTART_S)
    await system.start(first)
    await system.start(second)
    await sent
    # The bound on a calm machine, and more.
    await asyncio.sleep(5.0)


async def case(record: Record, has_trouble: bool) -> int:
    """Play rounds until one breaks the rule; return the exit status."""
    workers = "a" * 8 + "b" * 8 + "c" * 2
    async with System(record, entries="aaabbbcc", workers=workers, first="e2") as system:
        for number in range(ROUNDS):
            await play_round(system, number, has_trouble)
            found = overlaps(system.runs, record.now_ms())
            if found or record.now_ms() > ROUNDS_END_MS:
                break
        for one, other, lasted_ms in found:
            record.note(
                f"TWICE: {one.task} runs on {one.worker} (run {one.run_id}) and on "
                f"{other.worker} (run {other.run_id}) for {lasted_ms:.0f} ms"
            )
        return BROKEN if found else HELD


main(Path(__file__).resolve().parent, case)
