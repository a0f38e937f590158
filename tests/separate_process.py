# SPDX-License-Identifier: MIT
"""Runs test classes in a separate process, where other messages can be registered."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

_COMMAND = [sys.executable, "-m", "pytest", "-q", "-p", "no:xdist", "-p", "no:cacheprovider"]
_TIMEOUT_S = 60


def run_in_separate_process(module: str, subject: str) -> None:
    """Run the test class *subject* of *module*, a file in this folder; all its tests must pass."""
    tests = f"{Path(__file__).with_name(module)}::{subject}"
    result = subprocess.run(
        [*_COMMAND, "-o", "addopts=", tests],
        capture_output=True,
        text=True,
        check=False,
        timeout=_TIMEOUT_S,
    )
    assert result.returncode == 0, result.stdout
