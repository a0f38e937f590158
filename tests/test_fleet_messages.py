# SPDX-License-Identifier: MIT
"""Compatibility of endpoint messages with the previous release."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from foldloom.peers.messages import Frame, decode_body, encode_body, kind_of
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import (
    EndpointsSeen,
    WireEndpoint,
    births_of,
    decode_endpoints,
    encode_endpoints,
)
from foldloom.seed_discovery.jobs.spec import Demand

_RECORDS = [
    EndpointRecord("w1", "svc", "10.0.0.1:1", "a", Demand(1, 2, 3), sequence=4, born_ms=5_000),
    EndpointRecord("w2", "svc", "10.0.0.2:1", "a", Demand(1, 2, 3), labels=("x",)),
]
_MESSAGE = EndpointsSeen(encode_endpoints(_RECORDS), births_of(_RECORDS))


def _decode(body: bytes) -> EndpointsSeen:
    message: EndpointsSeen = decode_body(Frame(kind_of(_MESSAGE), 0, 0, 0, msgspec.Raw(body)))
    return message


class _PreviousEndpointsSeen(NamedTuple):
    """The message as defined by the previous release."""

    endpoints: list[WireEndpoint]


class TestIncarnationBirths:
    """Start times of endpoints, sent at the end of a message."""

    def test_round_trip(self) -> None:
        """Records survive a round trip with their start times."""
        assert decode_endpoints(_decode(bytes(encode_body(_MESSAGE)))) == _RECORDS

    def test_missing_births(self) -> None:
        """Missing start times are decoded as 0."""
        body = msgspec.msgpack.encode(_PreviousEndpointsSeen(_MESSAGE.endpoints))
        assert [one.born_ms for one in decode_endpoints(_decode(body))] == [0, 0]

    def test_previous_release_decodes(self) -> None:
        """The previous release can decode the message: the new field is at the end."""
        fields = msgspec.msgpack.decode(encode_body(_MESSAGE))
        read = msgspec.convert(
            fields[: len(_PreviousEndpointsSeen._fields)], _PreviousEndpointsSeen
        )
        assert read.endpoints == _MESSAGE.endpoints
