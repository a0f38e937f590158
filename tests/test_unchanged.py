# SPDX-License-Identifier: MIT
"""Compatibility of messages, stored data, HTTP, settings, metrics and the command line.

Compares them with ``tests/unchanged/recorded``. A failure means that a peer of another release, a
caller, a settings file, a data folder or a dashboard would be affected.
"""

from __future__ import annotations

import ast
import asyncio
import base64
import inspect
import json
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from expression import Error, Ok

from foldloom.cli import client as cli_client
from foldloom.cli.load import LoadOptions
from foldloom.cli.main import Commands
from foldloom.controllers import commands, plans, records, state, storage
from foldloom.controllers.config import encode_config
from foldloom.controllers.intents import parse_intents
from foldloom.controllers.state import ReplicatedState
from foldloom.exposition import metrics_text
from foldloom.metrics import Metrics
from foldloom.seed_discovery.endpoints.calls import CallOutcome
from foldloom.seed_discovery.fleet.cache import PublicationCache
from foldloom.seed_discovery.job_runner import JobEnd, JobState, outcome_of
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.settings import Settings
from foldloom.settings_file import settings_from
from foldloom.static_peers.claims.messages import Vote
from foldloom.verdicts import may_have_run, not_run
from unchanged.describe_messages import sample
from unchanged.recorded import check
from unchanged.samples import INTENTS, SETTINGS

_ROOT = Path(__file__).parent.parent
_CONTROLLERS = "foldloom.controllers.messages"
_STATIC_PEERS_MODULES = [
    _CONTROLLERS,
    "foldloom.static_peers.claims.messages",
    "foldloom.static_peers.placement.messages",
    "foldloom.static_peers.entry.messages",
    "foldloom.static_peers.membership",
]
_SEED_DISCOVERY_MODULES = [
    _CONTROLLERS,
    "foldloom.seed_discovery.fleet.messages",
    "foldloom.seed_discovery.owners.messages",
]
_COMMANDS = (
    commands.ConfirmCommand,
    commands.IncarnationCommand,
    commands.VoterReadyCommand,
    commands.ControllerJoinCommand,
    commands.ControllerLeaveCommand,
    commands.BoxesSettledCommand,
    commands.BootstrapCommand,
    commands.PublishCommand,
)


class TestMessages:
    """Messages between boxes: numbers, field order and types, counters.

    Only field names may change in the recorded file, together with the code.
    """

    @pytest.mark.parametrize(
        ("name", "modules"),
        [
            ("messages_by_settings", _STATIC_PEERS_MODULES),
            ("messages_by_seeds", _SEED_DISCOVERY_MODULES),
        ],
    )
    def test_bytes(self, name: str, modules: list[str]) -> None:
        """Each message keeps its number, encoding and counter."""
        program = [sys.executable, str(_ROOT / "tests/unchanged/describe_messages.py"), *modules]
        process = subprocess.run(program, capture_output=True, text=True, check=True)
        check(name, json.loads(process.stdout))


def _command_of(kind: Any) -> Any:
    hints = [(field.name, field.type) for field in msgspec.structs.fields(kind)]
    return kind(*(sample(hint, "f" + "x" * position) for position, (_, hint) in enumerate(hints)))


def _confirm(command: str, intents: list[dict[str, Any]], replicated: ReplicatedState) -> bytes:
    planned = plans.make_plan(replicated.config, parse_intents(intents).ok)
    return commands.encode_command(commands.ConfirmCommand(command, planned.ok.digest, intents))


def _payloads(replicated: ReplicatedState) -> Iterator[bytes]:
    """Yield commands for both kinds of state; later ones depend on the earlier ones."""
    yield b""
    yield commands.encode_command(commands.BootstrapCommand({"a1": "a"}, {"c1": "*", "c2": "*"}))
    yield commands.encode_command(commands.IncarnationCommand("a1", 41))
    yield commands.encode_command(commands.VoterReadyCommand("c1", "disk-1"))
    yield _confirm("first", INTENTS, replicated)
    yield _confirm("second", [{"kind": "remove", "section": "workers", "name": "w1"}], replicated)
    yield commands.encode_command(commands.BoxesSettledCommand(1))
    yield commands.encode_command(commands.ControllerJoinCommand("c3", "disk-3"))
    yield commands.encode_command(commands.ControllerLeaveCommand("c2"))
    yield commands.encode_command(commands.PublishCommand(7, b'{"version":7}'))


def _describe_state(replicated: ReplicatedState) -> dict[str, Any]:
    """Return a state's content without identifiers of the code."""
    return {
        "config": list(replicated.config),
        "publication": [replicated.publication.version, replicated.publication.document.decode()],
        "changes": [list(changes) for changes in replicated.changes_since(1)],
        "founders": replicated.target_voter_count,
        "resent": list(
            replicated.apply(commands.encode_command(commands.IncarnationCommand("a1", 41)))
        ),
    }


class TestData:
    """Data folders written by the recorded release."""

    def test_commands(self) -> None:
        """Commands in the log keep their encoding."""
        actual = {
            kind.__struct_config__.tag: commands.encode_command(_command_of(kind)).hex()
            for kind in _COMMANDS
        }
        check("commands", actual)

    def test_configuration(self) -> None:
        """The cached configuration and the snapshot keep their encoding."""
        replicated = ReplicatedState(state.empty_config({}, {}))
        answers = [list(replicated.apply(payload)) for payload in _payloads(replicated)]
        actual = {
            "answers": msgspec.to_builtins(answers),
            "config": encode_config(replicated.config).hex(),
            "snapshot": replicated.dump().hex(),
        }
        check("state", actual)

    def test_folder(self, tmp_path: Path) -> None:
        """A folder with a snapshot and a log is read, replayed and written in the same format."""
        recorded = Path(__file__).parent / "unchanged/recorded/folder.json"
        files = _write_folder(tmp_path / "new")
        check("folder", {name: base64.b64encode(data).decode() for name, data in files.items()})
        old = tmp_path / "old"
        old.mkdir()
        for name, data in json.loads(recorded.read_text()).items():
            (old / name).write_bytes(base64.b64decode(data))
        opened = storage.LogStorage(str(old))
        recovered = opened.open()
        assert (opened.identity.storage_id, opened.identity.is_first) == ("0" * 32, True)
        assert tuple(recovered.term_vote) == (4, "c2")
        assert recovered.snapshot.last_index == 6
        replicated = ReplicatedState(state.empty_config({}, {}))
        replicated.load(recovered.snapshot.state)
        for entry in recovered.entries:
            replicated.apply(entry.payload)
        check("folder_meaning", msgspec.to_builtins(_describe_state(replicated)))

    def test_cache(self, tmp_path: Path) -> None:
        """The cached publication keeps its encoding and can be read back."""
        written = {}

        async def write(publication: state.Publication) -> None:
            cache = PublicationCache(str(tmp_path))
            cache.write_soon(publication)
            assert cache._writing is not None
            await cache._writing

        asyncio.run(write(state.Publication(7, b'{"version":7}')))
        for path in tmp_path.iterdir():
            written[path.name] = path.read_bytes().hex()
        check("publication_cache", written)
        assert PublicationCache(str(tmp_path)).read().version == 7

    def test_set_aside(self, tmp_path: Path) -> None:
        """Files of a damaged folder are renamed with the suffix ``.lost`` and a time."""
        _write_folder(tmp_path)
        storage.quarantine_files(str(tmp_path))
        names = sorted(path.name.rpartition("-")[0] for path in tmp_path.iterdir())
        assert names == ["identity.lost", "log.lost", "snapshot.lost"]


def _write_folder(folder: Path) -> dict[str, bytes]:
    """Write a data folder with a snapshot, later entries, a truncation and a vote."""
    storage.format_folder(str(folder), is_first=True)
    identity = records.Identity("0" * 32, True)
    record = records.encode_identity(identity)
    (folder / "identity").write_bytes(record)
    log = storage.LogStorage(str(folder))
    log.open()
    replicated = ReplicatedState(state.empty_config({}, {}))
    entries = []
    for index, payload in enumerate(_payloads(replicated), start=1):
        entries.append(records.Entry(index, 2 if index < 4 else 3, payload))
        replicated.apply(payload)
        if index == 6:
            snapshot = records.Snapshot(6, 3, replicated.dump())
            log.save_snapshot(snapshot, records.TermVote(3, "c1"), [])
    log.append(entries[6:])
    log.truncate_from(9)
    log.append(entries[8:])
    log.save_term_vote(records.TermVote(4, "c2"))
    log.sync()
    log.close()
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


class TestOwnHttp:
    """foldloom's own HTTP interface for callers and operators."""

    def test_answers(self) -> None:
        """Every route keeps its status, headers and body."""
        program = [sys.executable, "-m", "unchanged.own_http"]
        process = subprocess.run(
            program, capture_output=True, text=True, check=True, cwd=_ROOT / "tests"
        )
        check("own_http", json.loads(process.stdout))


class TestSettings:
    """Keys of the settings file."""

    def test_keys(self) -> None:
        """Every key keeps its default, and the sample settings still load."""
        check("settings", _fields(Settings))
        assert settings_from(SETTINGS).box == "a1"


def _fields(struct: Any) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for field in msgspec.structs.fields(struct):
        inner = field.type
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            found[field.encode_name] = _fields(inner)
        elif field.name == "peers":
            found[field.encode_name] = _fields(inner.__args__[0])
        elif field.default is not msgspec.NODEFAULT:
            found[field.encode_name] = field.default
        else:
            has_default_factory = field.default_factory is not msgspec.NODEFAULT
            found[field.encode_name] = (
                field.default_factory() if has_default_factory else "(required)"
            )
    return found


class TestMetrics:
    """Counters, gauges and timings."""

    def test_names(self) -> None:
        """Every metric name in the code; parts computed at run time appear as ``{}``."""
        names = set()
        for folder in ("src", "platform"):
            for path in sorted((_ROOT / folder).rglob("*.py")):
                names |= set(_metric_names(ast.parse(path.read_text())))
        check("metrics", sorted(names))

    def test_parts_of_names(self) -> None:
        """Parts of metric names computed at run time."""
        actual = {
            "runs": [cause.label for cause in EndCause],
            "starts": [outcome.value for outcome in CallOutcome],
            "claims": [vote.name.lower() for vote in Vote],
            "jobs": [
                *(outcome_of(Ok(JobEnd(state))) for state in JobState),
                outcome_of(Error(not_run("any"))),
                outcome_of(Error(may_have_run("any"))),
            ],
        }
        check("metric_parts", actual)

    def test_text(self) -> None:
        """The exposition format of names and values."""
        metrics = Metrics()
        metrics.count("jobs.refused.over-load", 3)
        metrics.gauge("queue.a", 2.5)
        metrics.timing("job_ms", 7.0)
        lines = [line for line in metrics_text(metrics).decode().splitlines() if line[0] != "#"]
        check("metrics_text", lines)


def _metric_names(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr not in ("count", "gauge", "timing") or not node.args:
            continue
        name = node.args[0]
        if isinstance(name, ast.Constant) and isinstance(name.value, str):
            yield f"{node.func.attr} {name.value}"
        elif isinstance(name, ast.JoinedStr):
            parts = [
                str(part.value) if isinstance(part, ast.Constant) else "{}" for part in name.values
            ]
            yield f"{node.func.attr} {''.join(parts)}"


class TestCommandLine:
    """Commands, flags and exit codes."""

    def test_verbs(self) -> None:
        """Every command keeps its flags and their defaults."""
        verbs = {
            name: [str(parameter) for parameter in inspect.signature(verb).parameters.values()][1:]
            for name, verb in vars(Commands).items()
            if inspect.isfunction(verb) and not name.startswith("_")
        }
        options = LoadOptions()._asdict()
        check("command_line", {"verbs": verbs, "load": options})

    def test_exit_codes(self) -> None:
        """Exit codes for refusals, failures and conflicts."""
        answers: list[tuple[int, dict[str, Any]]] = [
            (200, {}),
            (409, {"verdict": "refused"}),
            (503, {"verdict": "refused"}),
            (502, {"verdict": "failed"}),
            (500, {}),
        ]
        codes = [cli_client.exit_code_of(status, fields) for status, fields in answers]
        named = {
            name: value for name, value in vars(cli_client).items() if name.startswith("EXIT_")
        }
        check("exit_codes", {"codes": codes, "named": named})


class TestDeployFile:
    """The users' deploy file."""

    def test_content(self) -> None:
        """Roles, programs and addresses."""
        check("deploy", tomllib.loads((_ROOT / "deploy/system.toml").read_text()))
