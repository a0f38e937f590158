# SPDX-License-Identifier: MIT
"""Guards the compatibility of cancel and end messages with the previous release."""

from __future__ import annotations

import msgspec
import pytest

from foldloom.peers.messages import Frame, decode_body, encode_body, kind_of
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.messages import CancelJob, EndCause, RunEnd, RunsEnded

_JOB = "a" * 16
_END = RunEnd(RunId(TaskId(_JOB, 0, 0, 0), 1), EndCause.DONE)


class TestReleaseBefore:
    """The previous release sends no token in either message and no delivery in a cancel."""

    @pytest.mark.parametrize(
        ("message", "fields_before"), [(CancelJob(_JOB, 7, 3), 1), (RunsEnded("z", [_END], 7), 2)]
    )
    def test_its_messages_are_read(
        self, message: CancelJob | RunsEnded, fields_before: int
    ) -> None:
        """Missing fields are read as 0."""
        fields = msgspec.msgpack.decode(encode_body(message))
        shorter = msgspec.Raw(msgspec.msgpack.encode(fields[:fields_before]))
        read = decode_body(Frame(kind_of(message), 0, 0, 0, shorter))
        assert read[:fields_before] == message[:fields_before]
        assert set(read[fields_before:]) == {0}
