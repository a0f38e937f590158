# SPDX-License-Identifier: MIT
"""Run ``own_claims_contention.py`` in a separate process.

Its job messages can't be registered in one process with the platform's, which other tests import.
"""

from __future__ import annotations

import pytest

from separate_process import run_in_separate_process


@pytest.mark.parametrize(
    "subject",
    ["TestSplitVotes", "TestSilentCoordinator", "TestDeadline", "TestConflictingCoordinators"],
)
class TestContention:
    """Each test class of the module."""

    def test_in_separate_process(self, subject: str) -> None:
        """All tests of the class pass."""
        run_in_separate_process("own_claims_contention.py", subject)
