# SPDX-License-Identifier: MIT
"""State of one job submission in an entry box's client of the owners.

Owns the queue of its runs' ends and the state that outlives its batches. A resubmission of the
same id is a separate open job.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.owners.messages import RunEnd


class OpenJob:
    """One submission of a job, until it is cancelled or answered.

    ``ends`` receives the ends of its runs, ``is_active`` is whether its runs may still be
    delivered, and ``may_have_started`` whether an owner that can no longer be queried may have
    started one of them.

    Args:
        job_id: The caller's job id.
    """

    def __init__(self, job_id: str) -> None:
        self.job_id = job_id
        self.began_ms = monotonic_ms()
        self.ends: asyncio.Queue[RunEnd] = asyncio.Queue()
        self.is_active = True
        self.may_have_started = False
