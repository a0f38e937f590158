# SPDX-License-Identifier: MIT
"""Limits of the job table, which counted evicted responses and so limited nothing."""

from __future__ import annotations

import pytest

from foldloom.metrics import Metrics
from foldloom.static_peers.entry import jobs as jobs_module
from foldloom.static_peers.entry.jobs import JobState, JobTable, Response

_RETENTION_MS = 60_000
_BODY = b"x" * 100
_UNLIMITED = 10**6


def _finish_jobs(table: JobTable, count: int, state: JobState = JobState.DONE) -> None:
    for number in range(count):
        job = table.start(
            f"a~{number}",
            "digest",
        )
        table.run(job)
        table.finish(job, state, Response(200, _BODY))


def _statuses(table: JobTable, count: int) -> list[int]:
    found = [table.get(f"a~{number}") for number in range(count)]
    return [job.response.status for job in found if job is not None and job.response is not None]


class TestRetentionLimits:
    """The newest responses within both limits are retained; older jobs answer 410."""

    def test_number_of_jobs(self) -> None:
        """Evicted responses do not count towards the limit."""
        table = JobTable(_RETENTION_MS, 2, _UNLIMITED, Metrics())
        _finish_jobs(table, 6)
        assert _statuses(table, 6) == [410] * 4 + [200] * 2

    def test_total_size(self) -> None:
        """The size of the retained responses stays within its limit, and is the gauge's value."""
        metrics = Metrics()
        table = JobTable(_RETENTION_MS, _UNLIMITED, 250, metrics)
        _finish_jobs(table, 6)
        assert _statuses(table, 6) == [410] * 4 + [200] * 2
        assert metrics.gauges["jobs.kept_bytes"] == 200

    def test_submitted_again_after_a_refusal(self) -> None:
        """A job that replaces a withdrawn one counts once, as the newest."""
        table = JobTable(_RETENTION_MS, 2, _UNLIMITED, Metrics())
        _finish_jobs(table, 2, JobState.WITHDRAWN)
        _finish_jobs(table, 1)
        assert _statuses(table, 2) == [200, 200]
        _finish_jobs(table, 3)
        assert _statuses(table, 3) == [410, 200, 200]

    def test_evicted_jobs_expire(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Jobs are removed after the retention time, also if their responses were evicted."""
        now_ms = 1_000.0
        monkeypatch.setattr(jobs_module, "monotonic_ms", lambda: now_ms)
        table = JobTable(_RETENTION_MS, 2, _UNLIMITED, Metrics())
        _finish_jobs(table, 4)
        now_ms += _RETENTION_MS - 1
        table.expire()
        assert len(_statuses(table, 4)) == 4
        now_ms += 1
        table.expire()
        assert _statuses(table, 4) == []
        _finish_jobs(table, 4)
        assert _statuses(table, 4) == [410, 410, 200, 200]
