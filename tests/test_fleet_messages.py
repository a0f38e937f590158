# SPDX-License-Identifier: MIT
"""Messages about endpoints between boxes of this release and the one before."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from foldloom.peers.messages import Frame, decode_body, encode_body, kind_of
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import (
    EndpointsSeen,
    WireEndpoint,
    births_of,
    received_endpoints,
    sent_endpoints,
)
from foldloom.seed_discovery.jobs.spec import Demand

_RECORDS = [
    EndpointRecord("w1", "svc", "10.0.0.1:1", "a", Demand(1, 2, 3), sequence=4, born_ms=5_000),
    EndpointRecord("w2", "svc", "10.0.0.2:1", "a", Demand(1, 2, 3), labels=("x",)),
]
_MESSAGE = EndpointsSeen(sent_endpoints(_RECORDS), births_of(_RECORDS))


def _decode(body: bytes) -> EndpointsSeen:
    message: EndpointsSeen = decode_body(Frame(kind_of(_MESSAGE), 0, 0, 0, msgspec.Raw(body)))
    return message


class _PreviousEndpointsSeen(NamedTuple):
    """The message as the release before has it."""

    endpoints: list[WireEndpoint]


class TestBirths:
    """When endpoints were born stands at the end of a message."""

    def test_they_arrive(self) -> None:
        """Each record has its birth again."""
        assert received_endpoints(_decode(bytes(encode_body(_MESSAGE)))) == _RECORDS

    def test_the_release_before_sends_none(self) -> None:
        """What it does not send is 0: the endpoint has not said."""
        body = msgspec.msgpack.encode(_PreviousEndpointsSeen(_MESSAGE.endpoints))
        assert [one.born_ms for one in received_endpoints(_decode(body))] == [0, 0]

    def test_the_release_before_reads_the_rest(self) -> None:
        """It drops what follows the fields of a message that it knows, and only there."""
        fields = msgspec.msgpack.decode(encode_body(_MESSAGE))
        read = msgspec.convert(
            fields[: len(_PreviousEndpointsSeen._fields)], _PreviousEndpointsSeen
        )
        assert read.endpoints == _MESSAGE.endpoints
