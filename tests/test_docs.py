# SPDX-License-Identifier: MIT
"""Guards against documentation of modules, tests, metrics and log events that do not exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

_ROOT = Path(__file__).parent.parent
# Findings, incidents and other design notes are historical and not checked.
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
# A counter and a status field, which look like log events.
_NOT_EVENTS = {"runs.hopeless", "controller.may_vote"}
_CODE = "\n".join(
    path.read_text() for folder in ("src", "platform") for path in (_ROOT / folder).rglob("*.py")
)
_TESTS = "\n".join(path.read_text() for path in (_ROOT / "tests").rglob("*.py"))


def _backticked_names(page: str) -> set[str]:
    """Return the texts in backticks on a page, without code blocks."""
    text = re.sub(r"```.*?```", "", (_ROOT / page).read_text(), flags=re.DOTALL)
    return set(re.findall(r"`([^`\n]+)`", text))


def _exists(path: str) -> bool:
    code = _ROOT / "src" / "foldloom"
    paths = (code / "static_peers", code / "seed_discovery")
    folders = (_ROOT, code, *paths, _ROOT / "tests", _ROOT / "docs")
    return any((folder / path).exists() or any(folder.glob(path)) for folder in folders)


class TestMetrics:
    """The metrics reference."""

    def test_every_name_stands_there(self) -> None:
        """Every metric is documented; ``name.{suffix}`` is documented as ``name.*``."""
        used = set(re.findall(r'\.(?:count|gauge|timing)\(\s*f?"([^"{]+)', _CODE))
        assert "messages.sent." in used
        documented = {f"{name}*" if name.endswith(".") else name for name in used}
        assert documented - _backticked_names("docs/OPERATIONS.md") == set()


@pytest.mark.parametrize("page", _PAGES)
class TestNames:
    """Names in backticks."""

    def test_files(self, page: str) -> None:
        """Python files exist in the repository, the foldloom package, the tests or the docs."""
        files = {name.partition("::")[0] for name in _backticked_names(page)}
        missing = {
            name for name in files if re.fullmatch(r"[\w/*.-]+\.py", name) and not _exists(name)
        }
        assert missing == set()

    def test_modules(self, page: str) -> None:
        """Modules named as ``package/module`` exist."""
        paths = "static_peers|seed_discovery"
        packages = "owners|scheduling|entry|claims|controllers|fleet|placement|endpoints|peers|jobs"
        pattern = rf"(({paths})/)?({packages})/\w+"
        modules = {name for name in _backticked_names(page) if re.fullmatch(pattern, name)}
        assert {name for name in modules if not _exists(f"{name}.py")} == set()

    def test_tests(self, page: str) -> None:
        """Test classes and functions exist in some test file."""
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
        """Log events named as ``subject.event`` exist in the code."""
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
