# SPDX-License-Identifier: MIT
"""``foldloom explain``: timeline and cause of a job from the logs of several boxes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from foldloom.cli.explain import explain, life_text, read_lines
from foldloom.cli.main import Commands
from foldloom.exceptions import CommandError

_JOB = "c0ffee0000000001"


def _line(at_s: int, box: str, event: str, **fields: Any) -> bytes:
    time = f"2026-12-02T10:00:{at_s:02d}.000000"
    return msgspec.json.encode({"time": time, "box": box, "event": event, **fields}) + b"\n"


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    """Return the logs of an entry box and of two owners, the first of which is lost."""
    entry = [
        _line(1, "e1", "job.accepted", job=_JOB, tasks=1),
        _line(1, "e1", "job.accepted", job="dead", tasks=1),
        _line(4, "e1", "runs.resumed", job=_JOB, runs=1, owner="o2"),
        _line(6, "e1", "job.ended", job=_JOB, outcome="expired", reason="too late"),
    ]
    first = [
        _line(2, "o1", "run.placed", job=_JOB, run=f"{_JOB}.0.0.0#1", worker="w1"),
        b"edge-1 | not an event {\n",
    ]
    second = [
        b"o2 | " + _line(3, "o2", "owner.claimed", zone="z", token=2),
        _line(5, "o2", "run.ended", job=_JOB, run=f"{_JOB}.0.0.0#1", cause="lost", worker="w1"),
        _line(9, "o2", "worker.silent", worker="w9"),
    ]
    files = []
    for name, lines in (("e1", entry), ("o1", first), ("o2", second)):
        path = tmp_path / name
        path.write_bytes(b"".join(lines))
        files.append(str(path))
    return files


class TestExplain:
    """Guards the timeline of one job across boxes."""

    def test_in_order_with_cause(self, logs: list[str]) -> None:
        """Events of the job and context events of its boxes are ordered by time."""
        life = explain(_JOB, read_lines(logs))
        assert [line.event for line in life.lines] == [
            "job.accepted",
            "run.placed",
            "owner.claimed",
            "runs.resumed",
            "run.ended",
            "job.ended",
        ]
        assert life.outcome == "expired"
        assert life.cause == "resumed at owner o2; too late"
        assert life_text(life).endswith("outcome: expired\ncause: resumed at owner o2; too late")

    def test_previous_release_names(self, tmp_path: Path) -> None:
        """Events of the previous release, with "worker" for "endpoint", get current names."""
        run = f"{_JOB}.0.0.0#1"
        lines = [
            _line(1, "e1", "job.accepted", job=_JOB, tasks=1),
            _line(2, "e1", "worker.silent", worker="w1"),
            _line(3, "e1", "run.retried", job=_JOB, run=run, cause="lost", worker="w1"),
            _line(4, "e1", "endpoint.lapsed", endpoint="w1"),
            _line(5, "e1", "run.retried", job=_JOB, run=run, cause="failed", endpoint="w2"),
            _line(6, "e1", "job.ended", job=_JOB, outcome="failed"),
        ]
        path = tmp_path / "log"
        path.write_bytes(b"".join(lines))
        life = explain(_JOB, read_lines([str(path)]))
        assert [line.event for line in life.lines[1:5:2]] == ["endpoint.silent", "endpoint.lapsed"]
        assert life.cause == f"{run} lost on w1; {run} failed on w2"

    def test_first_part_of_an_id(self, logs: list[str]) -> None:
        """A prefix of the job id is accepted."""
        assert explain("c0ffee", read_lines(logs)).job == _JOB

    def test_command(self, logs: list[str], capsys: pytest.CaptureFixture[str]) -> None:
        """``--json`` prints JSON; an unknown id exits with 1, a missing log file with 2."""
        Commands().explain(_JOB, *logs, json=True)
        assert msgspec.json.decode(capsys.readouterr().out)["outcome"] == "expired"
        with pytest.raises(CommandError) as unknown:
            Commands().explain("beef", *logs)
        with pytest.raises(CommandError) as usage:
            Commands().explain(_JOB)
        assert (unknown.value.exit_code, usage.value.exit_code) == (1, 2)
