# SPDX-License-Identifier: MIT
"""Messages of seed discovery: joins, endpoint and configuration updates, and zone ownership.

Message numbers start at 80. Encoded by :mod:`foldloom.peers.messages`.
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
    """A box's description of itself.

    Args:
        box: Its name: the address of its peer socket.
        incarnation: Its incarnation.
        zone: Its availability zone.
        role: ``entry`` or ``controller``.
        label: A display name.
        is_leaving: Whether a planned stop has begun.
    """

    box: str
    incarnation: int
    zone: str
    role: str
    label: str = ""
    is_leaving: bool = False


class WireEndpoint(NamedTuple):
    """The fields of an :class:`EndpointRecord` on the wire, without ``born_ms``.

    Earlier releases accept exactly these fields, and ignore unknown fields only at the end of a
    message. Hence ``born_ms`` is sent as a separate list at the message's end, in the same order.
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
    """The owner of a zone's endpoints.

    Args:
        zone: The zone.
        token: The fencing token; the highest one is valid. 0 if no owner is known.
        box: The owner.
        incarnation: The owner's incarnation.
    """

    zone: str
    token: int = 0
    box: str = ""
    incarnation: int = 0


class Join(NamedTuple):
    """A box's periodic join of a controller: shows that it is alive and requests catalog changes.

    Args:
        record: The sender.
        published_version: The published configuration version in effect at the sender.
        catalog_life: The controller incarnation that ``catalog_revision`` refers to.
        catalog_revision: The last catalog revision received; 0 requests the whole catalog.
    """

    record: BoxRecord
    published_version: int
    catalog_life: int
    catalog_revision: int


class JoinReply(NamedTuple):
    """A controller's reply to a join.

    Args:
        controllers: Addresses of all controllers.
        boxes: The live entry boxes.
        owners: The known zone owners.
        published_version: The newest published version at the controller.
        catalog_life: The controller's incarnation.
        catalog_revision: The revision of its catalog.
        endpoints: The endpoints of the sender's zone that changed since the requested revision.
        born_ms: The start time of each of these endpoints.
    """

    controllers: list[str]
    boxes: list[BoxRecord]
    owners: list[OwnerRecord]
    published_version: int
    catalog_life: int
    catalog_revision: int
    endpoints: list[WireEndpoint]
    born_ms: tuple[int, ...] = ()


class EndpointsSeen(NamedTuple):
    """Endpoint reports that a controller pushes to entry boxes.

    Args:
        endpoints: The endpoints.
        born_ms: The start time of each endpoint.
    """

    endpoints: list[WireEndpoint]
    born_ms: tuple[int, ...] = ()


class Noted(NamedTuple):
    """Acknowledgement that a pushed update was applied."""


class Published(NamedTuple):
    """A published configuration: a push, or the reply to a pull."""

    publication: Publication


class PullPublished(NamedTuple):
    """A request for a configuration newer than ``have``."""

    have: int


class ReadPublished(NamedTuple):
    """A controller's linearizable read of the published configuration at the leader."""


class ReadReply(NamedTuple):
    """The reply to a read; ``publication`` is valid only if ``is_current``."""

    is_current: bool
    publication: Publication


class ZoneLoad(NamedTuple):
    """The load of a zone's endpoints, in millicores.

    Args:
        free_milli: Unreserved capacity of the endpoints in use.
        total_milli: Total capacity of the endpoints in use.
        queued_milli: Demand of the queued tasks.
    """

    free_milli: int = 0
    total_milli: int = 0
    queued_milli: int = 0


class OwnerHeartbeat(NamedTuple):
    """A heartbeat of a zone's owner.

    Args:
        owner: The owner.
        record: The owner's box.
        sent_ms: Its monotonic clock at sending, returned in the acknowledgement.
        published_version: The published configuration version in effect at the owner.
        load: The load of its zone.
        announces_endpoints: Whether it announces endpoints to a box before it starts runs of the
            box there; ``False`` from an earlier release.
        unconfirmed_ms: For how long a box that holds a run in the zone may have been lost; -1 if
            not known, as from an earlier release.
    """

    owner: OwnerRecord
    record: BoxRecord
    sent_ms: int
    published_version: int = 0
    load: ZoneLoad = ZoneLoad()
    announces_endpoints: bool = False
    unconfirmed_ms: int = -1


class HeartbeatAck(NamedTuple):
    """A box's acknowledgement of an owner's heartbeat, which begins or renews the owner's session.

    The session ends one session time after ``heartbeat_sent_ms``, by the owner's clock.

    Args:
        token: The owner's fencing token, from the acknowledged heartbeat.
        heartbeat_sent_ms: When the acknowledged heartbeat was sent, by the owner's clock.
        record: The box.
        published_version: The published configuration version in effect at the box.
        earlier_endpoints: The endpoints on which earlier owners may have started runs of the box
            that go on; ``None`` if they are not known.
    """

    token: int
    heartbeat_sent_ms: int
    record: BoxRecord
    published_version: int = 0
    earlier_endpoints: tuple[str, ...] | None = None


class HigherToken(NamedTuple):
    """Notice to an owner that another owner has a higher fencing token."""

    owner: OwnerRecord


class OwnerQuery(NamedTuple):
    """A box's query for its zone's owner, sent while no heartbeats arrive."""

    zone: str


class OwnerAnswer(NamedTuple):
    """The known owner, and milliseconds since its last heartbeat; -1 if none was received."""

    owner: OwnerRecord
    silent_ms: int


class TakeOver(NamedTuple):
    """Handover of a zone to another box by an owner in a planned stop."""

    owner: OwnerRecord


def encode_endpoints(records: Iterable[EndpointRecord]) -> list[WireEndpoint]:
    """Return the wire form of *records*, without their start times."""
    return [WireEndpoint._make(record[: len(WireEndpoint._fields)]) for record in records]


def births_of(records: Iterable[EndpointRecord]) -> tuple[int, ...]:
    """Return the start time of each of *records*."""
    return tuple(record.born_ms for record in records)


def decode_endpoints(message: JoinReply | EndpointsSeen) -> list[EndpointRecord]:
    """Return the endpoints in *message*; earlier releases send no start times."""
    start_times = chain(message.born_ms, repeat(0))
    return [
        EndpointRecord(*sent, born_ms)
        for sent, born_ms in zip(message.endpoints, start_times, strict=False)
    ]


# Earlier names of these messages, kept in the names of their counters.
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
