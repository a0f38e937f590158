# SPDX-License-Identifier: MIT
"""Messages of seed discovery: how boxes find each other and share what all need.

Owns the numbers 80 and up of this path. Relies on the codec of :mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, repeat
from typing import NamedTuple

from foldloom.controllers.state import Publication
from foldloom.peers.messages import register
from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.jobs.spec import Demand


class BoxRecord(NamedTuple):
    """A box as it describes itself.

    Args:
        box: Its name: the address of its peer socket.
        life: Its present life.
        zone: Its zone.
        role: ``entry`` or ``controller``.
        label: What people call it.
        is_leaving: Whether a planned stop began.
    """

    box: str
    life: int
    zone: str
    role: str
    label: str = ""
    is_leaving: bool = False


class WireEndpoint(NamedTuple):
    """The fields of an :class:`EndpointRecord` on the wire, but for when it was born.

    Boxes of earlier releases read these and no more; of a message itself they drop what follows
    the fields that they know. So births stand at a message's end, in the order of its endpoints.
    """

    endpoint: str
    service: str
    address: str
    zone: str
    capacity: Demand
    labels: tuple[str, ...] = ()
    state: EndpointState = EndpointState.READY
    sequence: int = 0
    version: str = ""
    cold_left_ms: int = 0
    remaining_ms: int = 0


class OwnerRecord(NamedTuple):
    """Who owns the endpoints of a zone.

    Args:
        zone: The zone.
        token: The fencing token; the highest one holds. 0: nobody is known.
        box: The owner.
        life: The owner's life.
    """

    zone: str
    token: int = 0
    box: str = ""
    life: int = 0


class Join(NamedTuple):
    """A box's join: it is alive, and this is the newest version that it holds.

    Args:
        record: The box.
        published_version: The version of the published configuration in force there.
        catalog_incarnation: The life of the controller whose catalog it has read.
        catalog_revision: Up to which revision.
    """

    record: BoxRecord
    published_version: int
    catalog_incarnation: int
    catalog_revision: int


class JoinReply(NamedTuple):
    """What a controller knows.

    Args:
        controllers: Addresses of all controllers.
        boxes: The live entry boxes.
        owners: Who owns which zone's endpoints.
        published_version: The newest published version known there.
        catalog_incarnation: This controller's life.
        catalog_revision: The revision of its catalog.
        endpoints: The endpoints of the sender's zone that changed since the sender last asked.
        born_ms: When each of these was born.
    """

    controllers: list[str]
    boxes: list[BoxRecord]
    owners: list[OwnerRecord]
    published_version: int
    catalog_incarnation: int
    catalog_revision: int
    endpoints: list[WireEndpoint]
    born_ms: tuple[int, ...] = ()


class EndpointsSeen(NamedTuple):
    """A controller passes on what endpoints said, at once.

    Args:
        endpoints: The endpoints.
        born_ms: When each of these was born.
    """

    endpoints: list[WireEndpoint]
    born_ms: tuple[int, ...] = ()


class Noted(NamedTuple):
    """Whatever was sent is known now."""


class Published(NamedTuple):
    """A published configuration, pushed or answered."""

    publication: Publication


class PullPublished(NamedTuple):
    """A box asks for what is published above version ``known_version``."""

    known_version: int


class ReadPublished(NamedTuple):
    """A controller asks the leader for what is published now, for certain."""


class ReadReply(NamedTuple):
    """The newest publication; only true if ``is_current``."""

    is_current: bool
    publication: Publication


class ZoneLoad(NamedTuple):
    """How loaded a zone's endpoints are.

    Args:
        free_milli: Thousandths of cores that nothing takes, on endpoints in use.
        total_milli: All of them.
        queued_milli: What waits, in thousandths of cores.
    """

    free_milli: int = 0
    total_milli: int = 0
    queued_milli: int = 0


class OwnerHeartbeat(NamedTuple):
    """A heartbeat of a zone's owner.

    Args:
        owner: The owner.
        record: The owner as a box.
        sent_ms: Its steady clock at sending; sent back in the acknowledgement.
        published_version: The published version in force there.
        load: How loaded its zone is.
    """

    owner: OwnerRecord
    record: BoxRecord
    sent_ms: int
    published_version: int = 0
    load: ZoneLoad = ZoneLoad()


class HeartbeatAck(NamedTuple):
    """A box grants an owner the right to run its tasks for a while.

    The right lasts for the session time from ``heartbeat_sent_ms`` on, by the owner's clock.

    Args:
        token: The owner's token that the box knows as the highest.
        heartbeat_sent_ms: When the heartbeat that this answers was sent, by the owner's clock.
        record: The box.
        published_version: The published version in force there.
    """

    token: int
    heartbeat_sent_ms: int
    record: BoxRecord
    published_version: int = 0


class HigherToken(NamedTuple):
    """Notice to an owner that another one has a higher token."""

    owner: OwnerRecord


class OwnerQuery(NamedTuple):
    """A box whose zone's owner is silent asks who knows it."""

    zone: str


class OwnerAnswer(NamedTuple):
    """The owner known there, and milliseconds since its newest heartbeat; -1 for never."""

    owner: OwnerRecord
    silent_ms: int


class TakeOver(NamedTuple):
    """An owner that is stopped as planned hands its zone to another box."""

    owner: OwnerRecord


def sent_endpoints(records: Iterable[EndpointRecord]) -> list[WireEndpoint]:
    """Return *records* as they are sent, without their births."""
    return [WireEndpoint._make(record[: len(WireEndpoint._fields)]) for record in records]


def births_of(records: Iterable[EndpointRecord]) -> tuple[int, ...]:
    """Return when each of *records* was born."""
    return tuple(record.born_ms for record in records)


def received_endpoints(message: JoinReply | EndpointsSeen) -> list[EndpointRecord]:
    """Return the endpoints in *message*; a box of an earlier release sends no births."""
    start_times = chain(message.born_ms, repeat(0))
    return [
        EndpointRecord(*sent, born_ms)
        for sent, born_ms in zip(message.endpoints, start_times, strict=False)
    ]


# Counters keep the names that these messages had before.
_COUNTED_AS: dict[type, str] = {
    EndpointsSeen: "WorkersSeen",
    OwnerHeartbeat: "OwnerBeat",
    HeartbeatAck: "Echo",
}

for _kind, _type in enumerate(
    (
        Join,
        JoinReply,
        EndpointsSeen,
        Noted,
        Published,
        PullPublished,
        ReadPublished,
        ReadReply,
        OwnerHeartbeat,
        HeartbeatAck,
        HigherToken,
        OwnerQuery,
        OwnerAnswer,
        TakeOver,
    ),
    start=80,
):
    register(_kind, _type, _COUNTED_AS.get(_type, ""))
