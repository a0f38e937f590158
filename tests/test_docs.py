# SPDX-License-Identifier: MIT
"""What the pages name exists: modules, tests, events of logs."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

_ROOT = Path(__file__).parent.parent
# Findings, incidents and design notes keep the names of their day.
_PAGES = [
    "README.md",
    "docs/architecture.md",
    "docs/GLOSSARY.md",
    "docs/OPERATIONS.md",
    "docs/operate.md",
    "docs/proofs.md",
    "docs/design/scheduling.md",
    "docs/design/controllers.md",
]
# A counter, and a field of the status.
_NOT_EVENTS = {"runs.hopeless", "controller.may_vote"}
_CODE = "\n".join(
    path.read_text() for folder in ("src", "platform") for path in (_ROOT / folder).rglob("*.py")
)
_TESTS = "\n".join(path.read_text() for path in (_ROOT / "tests").rglob("*.py"))


def _backticked_names(page: str) -> set[str]:
    """Return what stands in backticks on a page, its blocks of code left out."""
    text = re.sub(r"```.*?```", "", (_ROOT / page).read_text(), flags=re.DOTALL)
    return set(re.findall(r"`([^`\n]+)`", text))


def _exists(path: str) -> bool:
    code = _ROOT / "src" / "foldloom"
    paths = (code / "static_peers", code / "seed_discovery")
    folders = (_ROOT, code, *paths, _ROOT / "tests", _ROOT / "docs")
    return any((folder / path).exists() or any(folder.glob(path)) for folder in folders)


class TestMetrics:
    """The reference of metrics."""

    def test_every_name_stands_there(self) -> None:
        """A name that the code completes, as ``thing.{reason}``, stands there as ``thing.*``."""
        used = set(re.findall(r'\.(?:count|gauge|timing)\(\s*f?"([^"{]+)', _CODE))
        assert "messages.sent." in used
        documented = {f"{name}*" if name.endswith(".") else name for name in used}
        assert documented - _backticked_names("docs/OPERATIONS.md") == set()


@pytest.mark.parametrize("page", _PAGES)
class TestNames:
    """Names in backticks."""

    def test_files(self, page: str) -> None:
        """A Python file, by its place in the repository, in foldloom or among the tests."""
        files = {name.partition("::")[0] for name in _backticked_names(page)}
        missing = {
            name for name in files if re.fullmatch(r"[\w/*.-]+\.py", name) and not _exists(name)
        }
        assert missing == set()

    def test_modules(self, page: str) -> None:
        """A module without its ending, as ``room/module``."""
        paths = "static_peers|seed_discovery"
        packages = "owners|scheduling|entry|claims|controllers|fleet|placement|endpoints|peers|jobs"
        pattern = rf"(({paths})/)?({packages})/\w+"
        modules = {name for name in _backticked_names(page) if re.fullmatch(pattern, name)}
        assert {name for name in modules if not _exists(f"{name}.py")} == set()

    def test_tests(self, page: str) -> None:
        """A test class or function, whatever file it is said to be in."""
        referenced_tests = {
            part for name in _backticked_names(page) for part in name.split("::")[1:]
        }
        referenced_tests |= {
            name for name in _backticked_names(page) if re.fullmatch(r"test_\w+", name)
        }
        referenced_tests |= {
            name for name in _backticked_names(page) if re.fullmatch(r"Test[A-Z]\w+", name)
        }
        missing = {
            name
            for name in referenced_tests
            if not re.search(
                rf"(class|def) {re.escape(name)}\b|^{re.escape(name)} = ", _TESTS, re.M
            )
            and not _exists(f"{name}.py")
        }
        assert missing == set()

    def test_events(self, page: str) -> None:
        """An event of the logs, as ``thing.what_happened``."""
        subjects = (
            "job|run|runs|owner|endpoint|session|config|controller|box|process|seeds|settings"
        )
        events = {
            name
            for name in _backticked_names(page)
            if re.fullmatch(rf"({subjects})\.[a-z_]+", name)
        }
        events -= {name for name in events if name.endswith(".py")} | _NOT_EVENTS
        assert {name for name in events if f'"{name}"' not in _CODE} == set()
