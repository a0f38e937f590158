# SPDX-License-Identifier: MIT
"""Outcome types of jobs and attempts, shared by static peers and seed discovery."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Run(StrEnum):
    """Whether any task of a job or an attempt may have started on an endpoint."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Verdict(StrEnum):
    """The final state of a job as reported to its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


class Problem(NamedTuple):
    """Why a job or an attempt has no answer.

    Args:
        run: Whether any task may have run.
        reason: Identifier in kebab case, stable across releases.
        detail: Human-readable explanation.
        retry_after_ms: Milliseconds after which to retry; 0 if a retry does not help.
        status: HTTP status of the response.

    .. versionadded:: 0.1.0
    """

    run: Run
    reason: str
    detail: str = ""
    retry_after_ms: int = 0
    status: int = 503

    @property
    def verdict(self) -> Verdict:
        """``refused`` if no task has run, else ``failed``."""
        return Verdict.REFUSED if self.run is Run.NOT_RUN else Verdict.FAILED


def not_run(reason: str, detail: str = "", retry_after_ms: int = 0, status: int = 503) -> Problem:
    """Return a problem for a job or an attempt of which no task has run."""
    return Problem(Run.NOT_RUN, reason, detail, retry_after_ms, status)


def may_have_run(
    reason: str, detail: str = "", retry_after_ms: int = 0, status: int = 502
) -> Problem:
    """Return a problem for a job or an attempt of which a task may have run."""
    return Problem(Run.MAY_HAVE_RUN, reason, detail, retry_after_ms, status)
