# SPDX-License-Identifier: MIT
"""Guards against unintended changes of the recorded external formats.

``FOLDLOOM_RECORD=1`` rewrites the files. Use it only for an intended change of an external format,
with the deprecation that CONTRIBUTING.md requires.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "recorded"


def check(name: str, actual: Any) -> None:
    """Assert that *actual* equals the recorded data called *name*."""
    file = FOLDER / f"{name}.json"
    normalized = json.loads(json.dumps(actual))
    if os.environ.get("FOLDLOOM_RECORD"):
        FOLDER.mkdir(exist_ok=True)
        file.write_text(json.dumps(normalized, indent=1, sort_keys=True) + "\n")
    assert normalized == json.loads(file.read_text())
