# SPDX-License-Identifier: MIT
"""Guards against mutations in ``benchmarks/broken.py`` that no longer match code or tests."""

from __future__ import annotations

import ast
import importlib.util
from pathlib import Path
from typing import Any

_ROOT = Path(__file__).parent.parent


def _mutations() -> list[Any]:
    path = _ROOT / "benchmarks" / "broken.py"
    spec = importlib.util.spec_from_file_location("broken", path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return list(module.MUTATIONS)


def _has_test(name: str) -> bool:
    file, *names = name.split("::")
    body: list[ast.stmt] = ast.parse((_ROOT / file).read_text()).body
    for part in names:
        found = [
            node
            for node in body
            if isinstance(node, ast.ClassDef | ast.FunctionDef) and node.name == part
        ]
        # The test case of a hypothesis state machine is an assignment.
        if not found:
            return any(
                isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == part
                for node in body
            )
        body = found[0].body
    return True


class TestRows:
    """The mutations and their tests."""

    def test_mechanisms_stand_in_the_code(self) -> None:
        """The text that a mutation replaces exists in its file."""
        missing = [
            mutation.name
            for mutation in _mutations()
            if mutation.old not in (_ROOT / "src" / "foldloom" / mutation.file).read_text()
        ]
        assert missing == []

    def test_tests_exist(self) -> None:
        """The test of a mutation exists."""
        assert [mutation.name for mutation in _mutations() if not _has_test(mutation.test)] == []
