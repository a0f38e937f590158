# SPDX-License-Identifier: MIT
"""Run ``own_entry_refusals.py`` in a separate process.

Its job messages can't be registered in one process with the platform's, which other tests import.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

_TESTS = Path(__file__).with_name("own_entry_refusals.py")
_COMMAND = [sys.executable, "-m", "pytest", "-q", "-p", "no:xdist", "-p", "no:cacheprovider"]


@pytest.mark.parametrize("subject", ["TestFollowing", "TestLookup", "TestUnreadBody"])
class TestRefusals:
    """Each test class of the module."""

    def test_in_separate_process(self, subject: str) -> None:
        """All tests of the class pass."""
        command = [*_COMMAND, "-o", "addopts=", f"{_TESTS}::{subject}"]
        result = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
        assert result.returncode == 0, result.stdout
