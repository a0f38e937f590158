# SPDX-License-Identifier: MIT
"""Messages about cancels between boxes of this release and the one before."""

from __future__ import annotations

import msgspec
import pytest

from foldloom.peers.messages import Frame, decode_body, encode_body, kind_of
from foldloom.seed_discovery.owners.messages import CancelJob

_JOB = "a" * 16


class TestReleaseBefore:
    """It knows no token in a cancel."""

    @pytest.mark.parametrize(("message", "fields_before"), [(CancelJob(_JOB, 7), 1)])
    def test_its_messages_are_read(self, message: CancelJob, fields_before: int) -> None:
        """What it does not send is 0, which stands for not known."""
        fields = msgspec.msgpack.decode(encode_body(message))
        shorter = msgspec.Raw(msgspec.msgpack.encode(fields[:fields_before]))
        read = decode_body(Frame(kind_of(message), 0, 0, 0, shorter))
        assert read[:fields_before] == message[:fields_before]
        assert set(read[fields_before:]) == {0}
