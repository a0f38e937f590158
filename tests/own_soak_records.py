# SPDX-License-Identifier: MIT
"""What callers were told and what endpoints have started, and which promises that breaks.

Times are of the machine's steady clock, which all processes of a soak share.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

NOT_RUN = "not-run"
# The ``run`` of a try that got no answer, and of one that never had a connection.
NO_RUN_FIELD = ""
NEVER_SENT = "never-sent"


class Start(NamedTuple):
    """An endpoint began a task."""

    submission: str
    index: int
    at_s: float


class Attempt(NamedTuple):
    """A call of a caller.

    Args:
        box: Where it was made.
        sent_s: When.
        answered_s: When its answer came, or it was given up.
        status: The answer's HTTP status; 0 without an answer.
        run: What the answer says of the submission's tasks; empty if it says nothing.
        reason: Why there was no whole answer.
        answers: The tasks' answers of a complete job.
        is_query: Whether it asked what is known of the submission, and handed nothing in.
    """

    box: str
    sent_s: float
    answered_s: float
    status: int
    run: str = NO_RUN_FIELD
    reason: str = ""
    answers: list[Any] | None = None
    is_query: bool = False

    @property
    def reports_not_run(self) -> bool:
        """Whether its caller may take it that nothing of the submission ran before."""
        return self.run == NOT_RUN

    @property
    def may_start_tasks(self) -> bool:
        """Whether tasks may begin because of it."""
        return not self.is_query and self.run not in (NOT_RUN, NEVER_SENT)


class Submission(NamedTuple):
    """One submission: what is asked for, and every try in the order of their sending."""

    payloads: list[dict[str, Any]]
    attempts: list[Attempt]


def guarantee_violations(submissions: dict[str, Submission], starts: list[Start]) -> list[str]:
    """Return every promise that did not hold, in words."""
    by_submission: dict[str, list[Start]] = {name: [] for name in submissions}
    violations = []
    for start in starts:
        if start.submission not in submissions:
            violations.append(f"{start.submission} was never handed in")
            continue
        by_submission[start.submission].append(start)
    for name, submission in submissions.items():
        task_starts = by_submission[name]
        for violation in _violations_of(submission, task_starts):
            violations.append(f"{name} {violation}; {_history(submission.attempts, task_starts)}")
    return violations


def _violations_of(submission: Submission, starts: list[Start]) -> Iterator[str]:
    yield from _duplicate_starts(starts)
    yield from _refused_but_started(submission.attempts, starts)
    yield from _unsubmitted(submission.attempts, starts)
    yield from _incomplete_answers(submission, starts)


def _duplicate_starts(starts: Iterable[Start]) -> Iterator[str]:
    """A stand-in writes no start down that it refused, so that no second one is excused."""
    for index, count in Counter(start.index for start in starts).items():
        if count > 1:
            yield f"task {index} was started {count} times"


def _refused_but_started(attempts: list[Attempt], starts: list[Start]) -> Iterator[str]:
    """A "not run" covers all that was before the call that it answers."""
    for one in attempts:
        if one.reports_not_run and any(start.at_s < one.sent_s for start in starts):
            yield f"had run when {one.box} was asked, and was told {one.reason}: not run"


def _unsubmitted(attempts: list[Attempt], starts: list[Start]) -> Iterator[str]:
    """Only a try that was not told "not run" may have begun anything, after it was sent."""
    causes = [one.sent_s for one in attempts if one.may_start_tasks]
    for start in starts:
        if not any(sent_s <= start.at_s for sent_s in causes):
            yield f"began task {start.index} though all tries until then were told: not run"


def _incomplete_answers(submission: Submission, starts: list[Start]) -> Iterator[str]:
    started = {start.index for start in starts}
    wanted = [{"echo": payload} for payload in submission.payloads]
    for one in submission.attempts:
        if one.answers is None:
            continue
        if one.answers != wanted:
            yield f"was completed at {one.box} with {one.answers}"
        if started != set(range(len(wanted))):
            yield f"was completed at {one.box}, and began tasks {sorted(started)}"


def _history(attempts: list[Attempt], starts: list[Start]) -> str:
    """Return tries and starts in words."""
    attempt_texts = [
        f"{'asked' if one.is_query else 'sent to'} {one.box} {one.sent_s:.3f} to"
        f" {one.answered_s:.3f}: {one.status} {one.run} {one.reason}"
        for one in attempts
    ]
    task_starts = [f"task {start.index} began {start.at_s:.3f}" for start in starts]
    return "; ".join([*attempt_texts, *task_starts])
