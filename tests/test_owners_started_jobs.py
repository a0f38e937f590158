# SPDX-License-Identifier: MIT
"""Guards against dropping a started job while a box may still ask for it."""

from __future__ import annotations

from foldloom.seed_discovery.owners.batches import REPLY_VALID_MS
from foldloom.seed_discovery.owners.started_jobs import StartedJobs

_JOB, _OTHER = "a" * 16, "b" * 16
# Longer than any margin added to a job's deadline.
_LONG_MS = 60_000.0


class TestStartedJobs:
    """A started job is listed as long as a box may ask for it."""

    def test_others_are_not_in_it(self) -> None:
        """Only recorded jobs are listed."""
        known = StartedJobs()
        known.note(_JOB, 1_500.0)
        assert _JOB in known
        assert _OTHER not in known

    def test_until_after_the_deadline(self) -> None:
        """A job is kept until some time after its deadline, then removed."""
        known = StartedJobs()
        known.note(_JOB, _LONG_MS)
        known.expire(_LONG_MS + 500.0)
        assert _JOB in known
        known.expire(2 * _LONG_MS)
        assert _JOB not in known

    def test_kept_while_box_accepts_statement(self) -> None:
        """A job is kept as long as a delayed box accepts the owner's statement."""
        known = StartedJobs()
        known.note(_JOB, 0.0)
        known.expire(REPLY_VALID_MS)
        assert _JOB in known

    def test_delivered_and_not_started(self) -> None:
        """A queued job is not listed, but its deadline extends the record of a later start."""
        known = StartedJobs()
        known.note_delivered(_JOB, _LONG_MS)
        assert _JOB not in known
        known.note(_JOB, 1_500.0)
        known.expire(_LONG_MS)
        assert _JOB in known

    def test_a_later_note_prolongs(self) -> None:
        """A later deadline of the same job extends its record; an earlier one has no effect."""
        known = StartedJobs()
        known.note(_JOB, 1_500.0)
        known.note(_JOB, _LONG_MS)
        known.note(_JOB, 1_500.0)
        known.expire(10_000.0)
        assert _JOB in known
        known.expire(2 * _LONG_MS)
        assert _JOB not in known

    def test_listed_by_an_endpoint(self) -> None:
        """A job with an unknown deadline is kept longer than any expected request deadline."""
        known = StartedJobs()
        known.note_listed(_JOB, 100.0)
        known.expire(2_900.0)
        assert _JOB in known
        known.expire(_LONG_MS)
        assert _JOB not in known
