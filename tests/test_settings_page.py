# SPDX-License-Identifier: MIT
"""docs/operate.md lists every settings key with its comment in settings.py.

``FOLDLOOM_RECORD=1`` regenerates the table.
"""

from __future__ import annotations

import ast
import os
import re
from pathlib import Path
from typing import Any

import msgspec

from foldloom.settings import Settings

_ROOT = Path(__file__).parent.parent
_PAGE = _ROOT / "docs" / "operate.md"
_BEGIN = "<!-- settings: begin; written by tests/test_settings_page.py -->"
_END = "<!-- settings: end -->"


def _comments() -> dict[tuple[str, str], str]:
    """Return the comment above each field, by class and attribute."""
    text = (_ROOT / "src" / "foldloom" / "settings.py").read_text()
    lines = text.splitlines()
    found = {}
    for node in ast.parse(text).body:
        if not isinstance(node, ast.ClassDef):
            continue
        for field in node.body:
            if not isinstance(field, ast.AnnAssign) or not isinstance(field.target, ast.Name):
                continue
            first = field.lineno - 2
            above: list[str] = []
            while lines[first].strip().startswith("#"):
                above.insert(0, lines[first].strip().removeprefix("# "))
                first -= 1
            found[node.name, field.target.id] = " ".join(above)
    return found


def _rows(struct: Any, prefix: str, comments: dict[tuple[str, str], str]) -> list[str]:
    rows = []
    for field in msgspec.structs.fields(struct):
        key = f"{prefix}{field.encode_name}"
        text = comments[struct.__name__, field.name]
        assert text, f"{struct.__name__}.{field.name} has no comment"
        rows.append(f"| `{key}` | {_default(field)} | {text} |")
        inner = field.type
        if field.name == "peers":
            rows += _rows(inner.__args__[0], f"{key}[].", comments)
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            rows += _rows(inner, f"{key}.", comments)
    return rows


def _default(field: Any) -> str:
    if field.default_factory is not msgspec.NODEFAULT:
        return "none"
    if field.default is msgspec.NODEFAULT:
        return "required"
    if isinstance(field.default, msgspec.Struct):
        return ""
    if isinstance(field.default, int) and not isinstance(field.default, bool):
        return f"{field.default:,}"
    return "empty" if field.default == "" else f"{field.default}".lower()


class TestPage:
    """Guards against a settings table that differs from the code."""

    def test_every_key_as_in_the_code(self) -> None:
        """Every key is listed with its default and its comment."""
        head = ["| key | default | what it is |", "|---|---|---|"]
        table = "\n".join([*head, *_rows(Settings, "", _comments())])
        text = _PAGE.read_text()
        if os.environ.get("FOLDLOOM_RECORD"):
            before, after = text.partition(_BEGIN)[0], text.partition(_END)[2]
            text = f"{before}{_BEGIN}\n\n{table}\n\n{_END}{after}"
            _PAGE.write_text(text)
        found = re.search(f"{re.escape(_BEGIN)}\n\n(.*?)\n\n{re.escape(_END)}", text, re.DOTALL)
        assert found is not None
        assert found.group(1) == table
