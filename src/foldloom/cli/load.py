# SPDX-License-Identifier: MIT
"""Open-loop load generator with Poisson arrivals at a fixed mean rate.

The response time of a job is counted from its scheduled time, which avoids coordinated omission.
The ideal response time is the duration of its longest task on a full-speed endpoint.
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

# Ratios of response to ideal time are recorded in thousandths.
_RATIO_SCALE = 1_000
# A response time of one hour for an ideal time of 1 ms.
_RATIO_MAX = 3_600_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Timeout of one request; must exceed the longest deadline of a job.
_TIMEOUT_S = 120.0
# Length of the longest bar, in characters.
_PLOT_WIDTH = 48


class LoadOptions(NamedTuple):
    """Options of a load run.

    Args:
        urls: Base URLs of entry boxes, separated by commas.
        jobs_per_second: Mean arrival rate.
        seconds: Duration of the run.
        tasks: Tasks per job.
        seed: Seed of arrival times, task durations and customers.
        service: Name of the service.
        members: Customers as ``name`` or ``name:weight``, separated by commas.
        task_ms_min: Shortest task duration.
        task_ms_max: Longest task duration.
        deadline_ms: Deadline of each job.
        repeatable: Whether jobs are marked as repeatable.
        warmup_seconds: Initial part of the run that is excluded from the report.
        prefix: Prefix of every submission id.
        samples: File for one JSON list per job and line; not written if empty.
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
    """A scheduled job.

    Args:
        url: URL of the job, including its submission id.
        customer: Customer of the job.
        durations_ms: Duration of each task.
        due_s: Scheduled time, relative to the start of the run.
    """

    url: str
    customer: str
    durations_ms: list[int]
    due_s: float


class Sample(NamedTuple):
    """The result of one job.

    Args:
        due_s: Scheduled time, relative to the start of the run.
        taken_ms: Time from the scheduled time to the response.
        ideal_ms: Duration of the longest task.
        outcome: ``complete``, the reason of a problem, or the name of a client-side exception.
        customer: Customer of the job.
        is_whole: ``False`` if the job completed with missing or wrong answers.
    """

    due_s: float
    taken_ms: float
    ideal_ms: float
    outcome: str
    customer: str
    is_whole: bool


class LoadReport:
    """Statistics of one run.

    Args:
        options: Options of the run.
        samples: Results of all jobs, warm-up included.
    """

    def __init__(self, options: LoadOptions, samples: list[Sample]) -> None:
        self._options = options
        self.samples = [sample for sample in samples if sample.due_s >= options.warmup_seconds]
        self._ratios = HdrHistogram(1, _RATIO_MAX, 3)
        self._refusal_ms = HdrHistogram(1, _RATIO_MAX, 3)
        for sample in self.samples:
            if sample.outcome == "complete":
                ratio = sample.taken_ms / sample.ideal_ms
                self._ratios.record_value(min(_RATIO_MAX, max(1, int(ratio * _RATIO_SCALE))))
            else:
                self._refusal_ms.record_value(max(1, int(sample.taken_ms * _RATIO_SCALE)))

    def ratio_at(self, percentile: float) -> float:
        """Return the ratio of response to ideal time at *percentile* of the completed jobs."""
        return self._ratios.get_value_at_percentile(percentile) / _RATIO_SCALE

    def fields(self) -> dict[str, Any]:
        """Return the statistics as JSON-like fields."""
        outcomes = Counter(sample.outcome for sample in self.samples)
        customers = Counter(
            sample.customer for sample in self.samples if sample.outcome == "complete"
        )
        return {
            "options": self._options._asdict(),
            "jobs": len(self.samples),
            "outcomes": dict(outcomes),
            "not_whole": sum(1 for sample in self.samples if not sample.is_whole),
            "response_over_ideal": {
                f"p{percentile:g}": self.ratio_at(percentile) for percentile in _PERCENTILES
            },
            "refusal_ms": {
                f"p{percentile:g}": self._refusal_ms.get_value_at_percentile(percentile)
                / _RATIO_SCALE
                for percentile in _PERCENTILES
            },
            "complete_by_member": dict(customers),
        }

    def text(self) -> str:
        """Return the statistics as text, with a bar chart of the percentiles."""
        fields = self.fields()
        lines = [f"jobs {fields['jobs']}, incomplete {fields['not_whole']}"]
        lines += [f"  {name}: {count}" for name, count in sorted(fields["outcomes"].items())]
        lines.append("response over ideal")
        highest = max(self.ratio_at(percentile) for percentile in _PERCENTILES) or 1.0
        for percentile in _PERCENTILES:
            ratio = self.ratio_at(percentile)
            bar = "#" * max(1, int(ratio / highest * _PLOT_WIDTH))
            lines.append(f"  p{percentile:<5g} {ratio:8.3f} {bar}")
        return "\n".join(lines)


def run_load(options: LoadOptions) -> LoadReport:
    """Run the load, write the samples file if requested, and return the report."""
    report = uvloop.run(generate(options))
    if options.samples:
        lines = b"".join(msgspec.json.encode(sample) + b"\n" for sample in report.samples)
        Path(options.samples).write_bytes(lines)
    return report


async def generate(options: LoadOptions) -> LoadReport:
    """Send every job at its scheduled time and return the report."""
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
    """Yield the jobs of a run in order of their scheduled time."""
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
    """Send one job of the run that began at *began_s* and return its result."""
    body = {
        "service": options.service,
        "member": job.customer,
        "repeatable": options.repeatable,
        "deadline_ms": options.deadline_ms,
        "tasks": [{"payload": {"ms": duration_ms}} for duration_ms in job.durations_ms],
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
    """Return the names of the customers and their arrival weights."""
    listed = options.members
    parts = listed.split(",") if isinstance(listed, str) else [str(part) for part in listed]
    names = [part.partition(":")[0] for part in parts]
    weights = [float(part.partition(":")[2] or 1) for part in parts]
    return names, weights
