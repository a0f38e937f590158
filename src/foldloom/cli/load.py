# SPDX-License-Identifier: MIT
"""Open-loop load: jobs leave at random moments of a fixed mean rate, whatever comes back.

Owns the histogram of one run. Relies on the HTTP interface only.

Waiting is not hidden: a job's response time counts from the moment it was due. The ideal is
the longest of its tasks' own times, on a full-speed endpoint.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

# The histogram counts ratios of response to ideal in thousandths, up to an hour against 1 ms.
_RATIO_SCALE = 1_000
# An hour against 1 ms, in thousandths.
_RATIO_MAX = 3_600_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Seconds for one job: twice the longest deadline of a job (60 s).
_TIMEOUT_S = 120.0
# Characters of a bar.
_PLOT_WIDTH = 48


class LoadOptions(NamedTuple):
    """What to send.

    Args:
        urls: Entry boxes, separated by commas.
        jobs_per_second: The mean rate.
        seconds: For how long.
        tasks: Tasks a job.
        seed: Makes times and sizes the same in each run.
        service: The service.
        members: Customers; ``name`` or ``name:weight`` of the arrivals, separated by commas.
        task_ms_min: The shortest task.
        task_ms_max: The longest task.
        deadline_ms: How long each answer is of use.
        repeatable: Whether the jobs are marked so.
        warmup_seconds: The first part of the run that is not counted.
        prefix: Begins every submission id.
        samples: A file for every single job, a JSON list a line; none if empty.
    """

    urls: str = "http://127.0.0.1:8101"
    jobs_per_second: float = 20.0
    seconds: float = 10.0
    tasks: int = 1
    seed: int = 1
    service: str = "sleep"
    members: str = "m1"
    task_ms_min: int = 50
    task_ms_max: int = 500
    deadline_ms: int = 10_000
    repeatable: bool = False
    warmup_seconds: float = 0.0
    prefix: str = "load"
    samples: str = ""


class _PlannedJob(NamedTuple):
    """A job that is still to be sent.

    Args:
        url: Where, with its submission id.
        customer: Whose it is.
        durations_ms: How long each of its tasks takes.
        due_s: When, from the run's start.
    """

    url: str
    customer: str
    durations_ms: list[int]
    due_s: float


class Sample(NamedTuple):
    """One job's end.

    Args:
        due_s: When it was due, from the run's start.
        taken_ms: From then to the response.
        ideal_ms: Its longest task's own time.
        outcome: ``complete``, or the problem's reason.
        customer: Whose it was.
        is_whole: Whether every answer is there and its own.
    """

    due_s: float
    taken_ms: float
    ideal_ms: float
    outcome: str
    customer: str
    is_whole: bool


class LoadReport:
    """The figures of one run.

    Args:
        options: What was sent.
        samples: Every job's end.
    """

    def __init__(self, options: LoadOptions, samples: list[Sample]) -> None:
        self._options = options
        self.samples = [one for one in samples if one.due_s >= options.warmup_seconds]
        self._ratios = HdrHistogram(1, _RATIO_MAX, 3)
        self._refusal_ms = HdrHistogram(1, _RATIO_MAX, 3)
        for sample in self.samples:
            if sample.outcome == "complete":
                ratio = sample.taken_ms / sample.ideal_ms
                self._ratios.record_value(min(_RATIO_MAX, max(1, int(ratio * _RATIO_SCALE))))
            else:
                self._refusal_ms.record_value(max(1, int(sample.taken_ms * _RATIO_SCALE)))

    def ratio_at(self, percentile: float) -> float:
        """Return response over ideal at *percentile* of the complete jobs."""
        return self._ratios.get_value_at_percentile(percentile) / _RATIO_SCALE

    def fields(self) -> dict[str, Any]:
        """Return the figures as JSON-like fields."""
        outcomes = Counter(sample.outcome for sample in self.samples)
        customers = Counter(one.customer for one in self.samples if one.outcome == "complete")
        return {
            "options": self._options._asdict(),
            "jobs": len(self.samples),
            "outcomes": dict(outcomes),
            "not_whole": sum(1 for one in self.samples if not one.is_whole),
            "response_over_ideal": {f"p{one:g}": self.ratio_at(one) for one in _PERCENTILES},
            "refusal_ms": {
                f"p{one:g}": self._refusal_ms.get_value_at_percentile(one) / _RATIO_SCALE
                for one in _PERCENTILES
            },
            "complete_by_member": dict(customers),
        }

    def text(self) -> str:
        """Return the figures as a table and a plot of the percentiles."""
        fields = self.fields()
        lines = [f"jobs {fields['jobs']}, not whole {fields['not_whole']}"]
        lines += [f"  {name}: {count}" for name, count in sorted(fields["outcomes"].items())]
        lines.append("response over ideal")
        highest = max(self.ratio_at(one) for one in _PERCENTILES) or 1.0
        for percentile in _PERCENTILES:
            ratio = self.ratio_at(percentile)
            bar = "#" * max(1, int(ratio / highest * _PLOT_WIDTH))
            lines.append(f"  p{percentile:<5g} {ratio:8.3f} {bar}")
        return "\n".join(lines)


def run_load(options: LoadOptions) -> LoadReport:
    """Run the load and return its report."""
    report = uvloop.run(generate(options))
    if options.samples:
        lines = b"".join(msgspec.json.encode(sample) + b"\n" for sample in report.samples)
        Path(options.samples).write_bytes(lines)
    return report


async def generate(options: LoadOptions) -> LoadReport:
    """Send every job when it is due and gather the ends."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        began = time.monotonic()
        sending = []
        for job in _planned_jobs(options):
            await asyncio.sleep(max(0.0, began + job.due_s - time.monotonic()))
            sending.append(asyncio.create_task(_send(session, options, job, began)))
        samples = await asyncio.gather(*sending)
    return LoadReport(options, samples)


def _planned_jobs(options: LoadOptions) -> Iterator[_PlannedJob]:
    """Yield every job of a run, in the order in which they are due."""
    rng = random.Random(options.seed)
    urls = options.urls.split(",") if isinstance(options.urls, str) else list(options.urls)
    customers, weights = _customers(options)
    run_id = f"{options.prefix}-{time.time_ns():x}"
    due_s = rng.expovariate(options.jobs_per_second)
    for number in itertools.count():
        if due_s >= options.seconds:
            return
        durations = [
            rng.randint(options.task_ms_min, options.task_ms_max) for _ in range(options.tasks)
        ]
        customer = rng.choices(customers, weights)[0]
        url = f"{rng.choice(urls)}/v1/jobs/{run_id}-{number}"
        yield _PlannedJob(url, customer, durations, due_s)
        due_s += rng.expovariate(options.jobs_per_second)


async def _send(
    session: aiohttp.ClientSession, options: LoadOptions, job: _PlannedJob, began_s: float
) -> Sample:
    """Send one job of a run that began at *began_s* and return its end."""
    body = {
        "service": options.service,
        "member": job.customer,
        "repeatable": options.repeatable,
        "deadline_ms": options.deadline_ms,
        "tasks": [{"payload": {"ms": size}} for size in job.durations_ms],
    }
    is_whole = True
    try:
        async with session.put(job.url, data=msgspec.json.encode(body)) as response:
            fields = msgspec.json.decode(await response.read())
            outcome = fields.get("reason", fields["verdict"])
            if response.status == 200:
                got = [answer["echo"]["ms"] for answer in fields["answers"]]
                is_whole = got == job.durations_ms
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        outcome = type(error).__name__
    taken_ms = (time.monotonic() - began_s - job.due_s) * 1_000
    ideal_ms = float(max(job.durations_ms))
    return Sample(job.due_s, taken_ms, ideal_ms, outcome, job.customer, is_whole)


def _customers(options: LoadOptions) -> tuple[list[str], list[float]]:
    """Return the customers and the weights of their arrivals."""
    listed = options.members
    parts = listed.split(",") if isinstance(listed, str) else [str(one) for one in listed]
    names = [part.partition(":")[0] for part in parts]
    weights = [float(part.partition(":")[2] or 1) for part in parts]
    return names, weights
