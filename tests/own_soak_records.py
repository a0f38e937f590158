# SPDX-License-Identifier: MIT
"""Records of callers' attempts and endpoints' starts, and checks of the guarantees.

Times are on the monotonic clock, which all processes of a soak share.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

NOT_RUN = "not-run"
# ``run`` of an attempt without that field, and of one that never had a connection.
NO_RUN_FIELD = ""
NEVER_SENT = "never-sent"


class Start(NamedTuple):
    """A task start at an endpoint."""

    submission: str
    index: int
    at_s: float


class Attempt(NamedTuple):
    """A caller's request.

    Args:
        box: The box it was sent to.
        sent_s: Time of sending.
        answered_s: Time of the response or failure.
        status: HTTP status; 0 without a response.
        run: The response's ``run`` field; empty if missing.
        reason: Why there was no complete response.
        answers: The tasks' answers of a complete job.
        is_query: Whether it only queried the submission's state.
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
        """Whether it guarantees that no task of the submission ran before."""
        return self.run == NOT_RUN

    @property
    def may_start_tasks(self) -> bool:
        """Whether it may cause tasks to start."""
        return not self.is_query and self.run not in (NOT_RUN, NEVER_SENT)


class Submission(NamedTuple):
    """A submission: its task payloads and all attempts in order of sending."""

    payloads: list[dict[str, Any]]
    attempts: list[Attempt]


def guarantee_violations(submissions: dict[str, Submission], starts: list[Start]) -> list[str]:
    """Return a description of every violated guarantee."""
    by_submission: dict[str, list[Start]] = {name: [] for name in submissions}
    violations = []
    for start in starts:
        if start.submission not in submissions:
            violations.append(f"{start.submission} was never submitted")
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
    """Find tasks started twice; a stand-in records no start that it refused."""
    for index, count in Counter(start.index for start in starts).items():
        if count > 1:
            yield f"task {index} was started {count} times"


def _refused_but_started(attempts: list[Attempt], starts: list[Start]) -> Iterator[str]:
    """Find "not run" responses to attempts sent after a task had started."""
    for attempt in attempts:
        if attempt.reports_not_run and any(start.at_s < attempt.sent_s for start in starts):
            yield (
                f"had started before an attempt was sent to {attempt.box} that was answered "
                f"not run: {attempt.reason}"
            )


def _unsubmitted(attempts: list[Attempt], starts: list[Start]) -> Iterator[str]:
    """Find starts without an earlier attempt that may have caused them."""
    causes = [attempt.sent_s for attempt in attempts if attempt.may_start_tasks]
    for start in starts:
        if not any(sent_s <= start.at_s for sent_s in causes):
            yield f"started task {start.index} though no attempt sent before may have caused it"


def _incomplete_answers(submission: Submission, starts: list[Start]) -> Iterator[str]:
    started = {start.index for start in starts}
    expected = [{"echo": payload} for payload in submission.payloads]
    for attempt in submission.attempts:
        if attempt.answers is None:
            continue
        if attempt.answers != expected:
            yield f"was completed at {attempt.box} with wrong answers {attempt.answers}"
        if started != set(range(len(expected))):
            yield f"was completed at {attempt.box} with only tasks {sorted(started)} started"


def _history(attempts: list[Attempt], starts: list[Start]) -> str:
    """Describe the attempts and starts of a submission."""
    attempt_texts = [
        f"{'asked' if attempt.is_query else 'sent to'} {attempt.box} {attempt.sent_s:.3f} to"
        f" {attempt.answered_s:.3f}: {attempt.status} {attempt.run} {attempt.reason}"
        for attempt in attempts
    ]
    task_starts = [f"task {start.index} started {start.at_s:.3f}" for start in starts]
    return "; ".join([*attempt_texts, *task_starts])
