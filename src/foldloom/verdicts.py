# SPDX-License-Identifier: MIT
"""The verdict on a job or an attempt: what happened, and whether work may have run.

Owns nothing: types that both paths use.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Run(StrEnum):
    """Whether any task of a request may have started on an endpoint."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Verdict(StrEnum):
    """The final state of a job as its caller sees it."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


class Problem(NamedTuple):
    """Why a job or an attempt gave no answer.

    Args:
        run: Whether work may have run.
        reason: A fixed, dashed word, stable across releases.
        detail: One short sentence for people.
        retry_after_ms: When coming back helps, how long to wait; else 0.
        status: The HTTP status for the caller.

    .. versionadded:: 0.1.0
    """

    run: Run
    reason: str
    detail: str = ""
    retry_after_ms: int = 0
    status: int = 503

    @property
    def verdict(self) -> Verdict:
        """``refused`` only when the work certainly did not run."""
        return Verdict.REFUSED if self.run is Run.NOT_RUN else Verdict.FAILED


def not_run(reason: str, detail: str = "", retry_after_ms: int = 0, status: int = 503) -> Problem:
    """Return a problem that says the work certainly did not run."""
    return Problem(Run.NOT_RUN, reason, detail, retry_after_ms, status)


def may_have_run(
    reason: str, detail: str = "", retry_after_ms: int = 0, status: int = 502
) -> Problem:
    """Return a problem that says the work may have run."""
    return Problem(Run.MAY_HAVE_RUN, reason, detail, retry_after_ms, status)
