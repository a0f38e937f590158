# SPDX-License-Identifier: MIT
"""What was recorded of the outer forms, from the code of commit 82919ef.

``FOLDLOOM_RECORD=1`` writes the files anew. That is right only when an outer form is meant to
change, with the deprecation that CONTRIBUTING.md asks for.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "recorded"


def check(name: str, actual: Any) -> None:
    """Compare *actual* with what was recorded as *name*."""
    file = FOLDER / f"{name}.json"
    normalized = json.loads(json.dumps(actual))
    if os.environ.get("FOLDLOOM_RECORD"):
        FOLDER.mkdir(exist_ok=True)
        file.write_text(json.dumps(normalized, indent=1, sort_keys=True) + "\n")
    assert normalized == json.loads(file.read_text())
