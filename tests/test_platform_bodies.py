# SPDX-License-Identifier: MIT
"""Decoding and validation of the platform's JSON bodies."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import given
from hypothesis import strategies as st

from bodies import decode_active_runs, decode_ended_runs, read_report, task_of, task_text
from clients import client_timeout_ms
from documents import parse_document, read_queues
from foldloom.peers.messages import Frame, decode_body, encode_body, kind_of
from foldloom.seed_discovery.endpoints.calls import EndKind
from foldloom.seed_discovery.endpoints.records import EndpointState
from foldloom.seed_discovery.fleet.messages import (
    EndpointsSeen,
    births_of,
    decode_endpoints,
    encode_endpoints,
)
from foldloom.seed_discovery.jobs.queues import Queue
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from job_bodies import parse_job

_ID = "5c0e7a21d94b36f8"


def _job(phase: dict[str, Any] | None = None, **fields: Any) -> bytes:
    phases = [{"count": 2, "cpu": 500, **(phase or {})}]
    return json.dumps({"spec": "s", "phases": phases, "best_effort": True, **fields}).encode()


class TestJob:
    """Jobs submitted by clients."""

    def test_whole(self) -> None:
        """Every field of a step is decoded."""
        phase = {
            "mem_mb": 3,
            "gpu": 1,
            "estimate_ms": 90,
            "constraints": "a",
            "affinity": "r1",
            "anti_affinity": 2,
        }
        parsed = parse_job(_ID, _job(phase))
        assert parsed.is_ok()
        step = parsed.ok.steps[0]
        assert (step.tasks, step.demand, step.estimate_ms) == (2, (500, 3, 1), 90)
        assert step.placement == ("a", "r1", 2)

    @pytest.mark.parametrize(
        ("body", "status", "named"),
        [
            (b"{", 400, "truncated"),
            (_job()[:-1] + b',"spec":"t"}', 400, "spec"),
            # Guards against an empty key given twice, taken for "no key is given twice".
            (_job()[:-1] + b',"":1,"":2}', 400, "(empty key)"),
            (b'{"spec":"s","phases":[{"count":2,"":1,"":2}]}', 400, "(empty key)"),
            (_job({"count": 0}), 400, "phases"),
            (_job({"count": 1_000_000}), 400, "phases"),
            (_job({"cpu": -1}), 400, "cpu"),
            (_job({"cpu": 10**12}), 400, "cpu"),
            (_job({"depends_on": [0]}), 400, "depends_on"),
            (_job({"depends_on": [7]}), 400, "depends_on"),
            (_job(spec="x" * 4_001), 400, "spec"),
            (_job(phases=[]), 400, "phases"),
            (_job(repeat_count=-1), 400, "repeat_count"),
            (_job(best_effort=False), 501, "best_effort"),
            (_job({"gang": True}), 501, "gang"),
            (_job({"long_running": True}), 501, "long_running"),
            (_job(repeat_count=3), 501, "repeat_count"),
        ],
    )
    def test_refused_by_name(self, body: bytes, status: int, named: str) -> None:
        """Invalid values and unsupported features are rejected with the field's name."""
        parsed = parse_job(_ID, body)
        assert parsed.is_error()
        assert parsed.error.status == status
        assert named in parsed.error.detail

    @pytest.mark.parametrize("job_id", ["", "5C0E7A21D94B36F8", "5c0e", _ID + "0", "../../etc"])
    def test_bad_id(self, job_id: str) -> None:
        """A job id that is not 16 lowercase hex digits is rejected."""
        assert parse_job(job_id, _job()).is_error()


_ROUTE = {
    "name": "r",
    "host": "H.example",
    "path_prefix": "/p/",
    "service": "s",
    "timeout_ms": 1_500,
    "target_latency_ms": 60,
    "priority": 2,
    "max_attempts": 3,
    "extension": 1.6,
}
_DOCUMENT = {"version": 7, "routes": [_ROUTE], "services": [{"name": "s"}]}


def _document(**changes: Any) -> bytes:
    return json.dumps({**_DOCUMENT, **changes}).encode()


class TestDocument:
    """Configuration documents of the operator."""

    def test_read_back_as_sent(self) -> None:
        """The document is stored unchanged, including unknown fields."""
        body = _document(extra={"x": [1]})
        checked = parse_document(body)
        assert checked.is_ok()
        assert checked.ok.version == 7
        assert json.loads(checked.ok.document) == json.loads(body)

    def test_queues(self) -> None:
        """A route is converted to a queue."""
        checked = parse_document(_document())
        assert checked.is_ok()
        queue = read_queues(checked.ok).find("h.example", "/p/1")
        assert queue is not None
        assert (queue.priority, queue.attempts_max, queue.timeout_ms) == (2, 3, 1_500)
        assert queue.objective_ms(100.0) == 220.0

    @pytest.mark.parametrize(
        "body",
        [
            _document()[:-3],
            _document(version=0),
            _document(routes=[{**_ROUTE, "service": "unknown"}]),
            _document(routes=[{**_ROUTE, "timeout_ms": 0}]),
            _document(routes=[_ROUTE, {**_ROUTE, "name": "r2"}]),
            _document(routes=None),
            b"[]",
            b"",
        ],
    )
    def test_invalid(self, body: bytes) -> None:
        """Malformed or inconsistent documents are rejected."""
        assert parse_document(body).is_error()


_REPORT = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482_113,
    "call_seq": 4,
    "born": 1_796_000_000_000,
}
_REQUIRED = ("service", "address", "zone", "state", "capacity", "call_seq")
_PLAIN = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
_JSON = st.recursive(
    _PLAIN, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=8
)


def _report(**changes: Any) -> bytes:
    return json.dumps({**_REPORT, **changes}).encode()


class TestReport:
    """Heartbeat reports of endpoints, valid and invalid."""

    def test_whole(self) -> None:
        """Every field that decisions depend on is decoded."""
        record = read_report("i-1", _report()).ok
        assert (record.endpoint, record.service, record.zone) == ("i-1", "s", "z")
        assert record.capacity == (16_000, 32_768, 0)
        assert (record.state, record.sequence) == (EndpointState.READY, 4)
        assert record.born_ms == 1_796_000_000_000

    def test_without_a_birth(self) -> None:
        """``born`` is optional: an id may belong to a single incarnation."""
        fields = {key: value for key, value in _REPORT.items() if key != "born"}
        assert read_report("i-1", json.dumps(fields).encode()).ok.born_ms == 0

    @pytest.mark.parametrize("field", _REQUIRED)
    def test_a_field_is_missing(self, field: str) -> None:
        """A missing required field is rejected with its name."""
        fields = {key: value for key, value in _REPORT.items() if key != field}
        refused = read_report("i-1", json.dumps(fields).encode())
        assert refused.is_error()
        assert field in refused.error

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "resting"},
            {"state": "gone"},
            {"state": 1},
            {"address": "???"},
            {"address": "10.0.0.1"},
            {"service": ""},
            {"zone": ["z"]},
            {"call_seq": -5},
            {"call_seq": "4"},
            {"call_seq": 10**30},
            {"born": "x"},
            {"born": 1.5},
            {"born": -1},
            {"born": 10**30},
            {"cold_left_ms": 1e300},
            {"capacity": {"cpu": -5, "mem_mb": 1}},
            {"capacity": {"cpu": 16_000}},
            {"capacity": 3},
            {"labels": "a"},
        ],
    )
    def test_a_field_is_wrong(self, changes: dict[str, Any]) -> None:
        """A report with a value of the wrong type or out of range is rejected."""
        assert read_report("i-1", _report(**changes)).is_error()

    @pytest.mark.parametrize("endpoint", ["", "a/b", "a b", "x" * 300])
    def test_the_path_names_nothing(self, endpoint: str) -> None:
        """An endpoint id that is empty, too long or contains slashes or blanks is rejected."""
        assert read_report(endpoint, _report()).is_error()

    @given(
        st.binary()
        | _JSON.map(lambda value: json.dumps(value).encode())
        | st.dictionaries(st.sampled_from(sorted(_REPORT)), _JSON).map(
            lambda changes: _report(**changes)
        )
    )
    def test_whatever_comes(self, body: bytes) -> None:
        """Any body is either rejected or survives encoding between boxes unchanged."""
        read = read_report("i-1", body)
        if read.is_error():
            assert read.error
            return
        sent = EndpointsSeen(encode_endpoints([read.ok]), births_of([read.ok]))
        frame = Frame(kind_of(sent), 0, 0, 0, msgspec.Raw(encode_body(sent)))
        assert decode_endpoints(decode_body(frame)) == [read.ok]

    def test_nested_without_end(self) -> None:
        """A body nested beyond the decoder's recursion limit is rejected."""
        assert read_report("i-1", b'{"x":' + b"[" * 100_000).is_error()


class TestNames:
    """Task names and the rows of poll responses."""

    def test_task(self) -> None:
        """A task name consists of job, repeat, step and position."""
        task = TaskId(_ID, 0, 1, 17)
        assert task_text(task) == f"{_ID}.0.1.17"
        assert task_of(task_text(task)) == task

    def test_not_a_task(self) -> None:
        """Text that is not a task name raises."""
        with pytest.raises(ValueError, match="names no task"):
            task_of("x.1.2")

    def test_rows(self) -> None:
        """Rows are decoded, and extra fields are ignored."""
        run_id = RunId(TaskId(_ID, 0, 1, 9), 2)
        active = decode_active_runs([[f"{_ID}.0.1.9", 2, "", 100, 12.5]])
        assert active[0].run_id == run_id
        ended = decode_ended_runs([[58, f"{_ID}.0.1.9", 2, "done", ""]])
        assert (ended[0].sequence, ended[0].run_id, ended[0].kind) == (58, run_id, EndKind.DONE)


class TestDeadlineHeader:
    """The client's deadline, in milliseconds."""

    _QUEUE = Queue("q", "host", "/", "svc", 0, 3, 1_500, 1.6, 60)

    @pytest.mark.parametrize(
        ("text", "timeout_ms"),
        [("400", 400.0), ("0", 1.0), ("-5", 1.0), ("soon", 1_500.0)],
    )
    def test_number(self, text: str, timeout_ms: float) -> None:
        """The queue's timeout replaces a text that is no number."""
        assert self._timeout_ms(text) == timeout_ms

    @pytest.mark.parametrize("text", ["inf", "-inf", "nan", "1e400"])
    def test_not_finite(self, text: str) -> None:
        """Guards against a job without an end, which was answered 500."""
        assert self._timeout_ms(text) == 1_500.0

    def _timeout_ms(self, text: str) -> float:
        request = make_mocked_request("POST", "/", headers={"X-Foldloom-Deadline-Ms": text})
        return client_timeout_ms(request, self._QUEUE)
