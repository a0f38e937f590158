# SPDX-License-Identifier: MIT
"""Guards the compatibility of cancel and end messages with the previous release."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import pytest

from foldloom.peers.messages import Frame, decode_body, encode_body, kind_of
from foldloom.seed_discovery.fleet.messages import (
    BoxRecord,
    HeartbeatAck,
    OwnerHeartbeat,
    OwnerRecord,
    ZoneLoad,
)
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.messages import (
    CancelJob,
    EndCause,
    EndpointBinding,
    EndpointList,
    EndsNoted,
    RunEnd,
    RunsEnded,
    StartOrdered,
    TaskCrashes,
)
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from foldloom.settings import ENTRY
from test_owners_state import submission

_JOB = "a" * 16
_END = RunEnd(RunId(TaskId(_JOB, 0, 0, 0), 1), EndCause.DONE)
_BINDING = EndpointBinding(RunId(TaskId(_JOB, 0, 0, 0), 1), "w1")
_START = StartOrdered(RunId(TaskId(_JOB, 0, 0, 0), 1), "w1")
_SUBMISSION = submission(bindings=(_BINDING,))
_CRASHES = TaskCrashes(TaskId(_JOB, 0, 0, 0), CrashCount(2, 1))
_ANNOUNCED = EndpointList(3, ("w1", "w2"))
_ENDS = RunsEnded("z", [_END], 7, (_CRASHES,), (_BINDING,), (_START,), (_START,), _ANNOUNCED)
_BOX = BoxRecord("10.0.0.1:1", 1, "z", ENTRY)
_HEARTBEAT = OwnerHeartbeat(OwnerRecord("z", 7, "10.0.0.1:1", 1), _BOX, 5, 0, ZoneLoad(), True, 150)
_ACK = HeartbeatAck(7, 5, _BOX, 0, ("w1",))


class TestReleaseBefore:
    """Previous releases send fewer fields: no token, crash counts, bindings, starts or renewals."""

    @pytest.mark.parametrize(
        ("message", "fields_before", "absent"),
        [
            (CancelJob(_JOB, 7, 3), 1, (0, 0)),
            (_ENDS, 2, (0, (), (), (), (), None)),
            (_ENDS, 3, ((), (), (), (), None)),
            (_ENDS, 5, ((), (), None)),
            (_ENDS, 6, ((), None)),
            (_ENDS, 7, (None,)),
            (_SUBMISSION, 15, ((), False)),
            (_SUBMISSION, 16, (False,)),
            (EndsNoted(False), 0, (True,)),
            (_HEARTBEAT, 5, (False, -1)),
            (_HEARTBEAT, 6, (-1,)),
            (_ACK, 4, (None,)),
        ],
    )
    def test_its_messages_are_read(
        self,
        message: NamedTuple,
        fields_before: int,
        absent: tuple[object, ...],
    ) -> None:
        """Missing fields are read as 0, empty or unknown."""
        fields = msgspec.msgpack.decode(encode_body(message))
        shorter = msgspec.Raw(msgspec.msgpack.encode(fields[:fields_before]))
        read = decode_body(Frame(kind_of(message), 0, 0, 0, shorter))
        assert read[:fields_before] == message[:fields_before]
        assert read[fields_before:] == absent

    def test_it_reads_the_end_of_a_run(self) -> None:
        """A release that does not know the last field reads the others."""
        fields = msgspec.msgpack.decode(encode_body(RunsEnded("z", [_END], 7)))
        longer = msgspec.Raw(msgspec.msgpack.encode([*fields, ["unknown"]]))
        frame = Frame(kind_of(RunsEnded("z", [])), 0, 0, 0, longer)
        assert decode_body(frame) == RunsEnded("z", [_END], 7)
