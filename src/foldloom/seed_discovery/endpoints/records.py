# SPDX-License-Identifier: MIT
"""Endpoint records as sent in heartbeats, and the order between two records of an endpoint."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand


class EndpointState(StrEnum):
    """The lifecycle state of an endpoint; only a ready one accepts new runs."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointRecord(NamedTuple):
    """One incarnation of an endpoint, as described by its newest heartbeat.

    Args:
        endpoint: The endpoint's id. Earlier incarnations may have used the same id and address.
        service: The service that it belongs to.
        address: ``IP:port`` that accepts orders.
        zone: Its availability zone.
        capacity: The total demand of the tasks that it can run at the same time.
        labels: Its kind, rack and similar attributes.
        state: Its lifecycle state.
        sequence: Increases with each heartbeat of this incarnation.
        version: Its software version.
        cold_left_ms: Remaining duration of its cold start, during which it is slow.
        remaining_ms: While draining, the minimum time until it exits.
        born_ms: Start time of this incarnation, in Unix milliseconds by its own clock. Identifies
            the incarnation together with the id. 0 if not reported: the id is then never reused.
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
    born_ms: int = 0

    @property
    def has_left(self) -> bool:
        """Whether it has deregistered for good: its id is never reused.

        It ends soon, but may still have runs.
        """
        return self.state is EndpointState.GONE and not self.born_ms

    def is_equivalent_to(self, other: EndpointRecord) -> bool:
        """Return whether *other* differs only in ``sequence`` and the remaining times."""
        return self._replace(sequence=0, cold_left_ms=0, remaining_ms=0) == other._replace(
            sequence=0, cold_left_ms=0, remaining_ms=0
        )


class ReportVerdict(Enum):
    """Whether a report is accepted, and why; the values appear in logs."""

    FIRST = "first"
    NEXT_LIFE = "next life"
    NEWER = "newer"
    EARLIER_LIFE = "earlier life"
    LATE = "late"
    LEAVES_ALREADY = "leaves already"
    HAS_LEFT = "has left"

    @property
    def is_accepted(self) -> bool:
        """Whether the report replaces the known record."""
        return self in (ReportVerdict.FIRST, ReportVerdict.NEXT_LIFE, ReportVerdict.NEWER)


# An incarnation's state only moves forward in this order.
_STATES_IN_ORDER = (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


def classify_report(record: EndpointRecord, known: EndpointRecord | None) -> ReportVerdict:
    """Return whether *record* replaces the *known* record of the same endpoint.

    Reports are ordered by incarnation, then by state, then by sequence, so that all boxes converge
    on the same record whatever the order of arrival. The sequence restarts with each incarnation.

    An incarnation with an earlier start time is taken for a delayed report, even if the endpoint's
    wall clock was set back: the two cannot be distinguished. Such an endpoint gets no work until
    the known incarnation is evicted for silence.
    """
    if known is None:
        return ReportVerdict.FIRST
    if record.born_ms > known.born_ms:
        return ReportVerdict.NEXT_LIFE
    if record.born_ms < known.born_ms:
        # Also if it is 0: reports of this endpoint carry a start time.
        return ReportVerdict.EARLIER_LIFE
    if record.state is not known.state:
        return _classify_state_change(record.state, known.state)
    return ReportVerdict.NEWER if record.sequence >= known.sequence else ReportVerdict.LATE


def _classify_state_change(state: EndpointState, known: EndpointState) -> ReportVerdict:
    if _STATES_IN_ORDER.index(state) > _STATES_IN_ORDER.index(known):
        return ReportVerdict.NEWER
    if known is EndpointState.GONE:
        return ReportVerdict.HAS_LEFT
    return ReportVerdict.LEAVES_ALREADY


def accepts_deregistration(known: EndpointRecord) -> bool:
    """Return whether a deregistration, which names no incarnation, applies to the *known* one.

    An incarnation reports that it is draining before it deregisters. While it is ready, the
    deregistration is from the previous incarnation, or the draining report went to another
    controller. Accepting a delayed one would restart all runs of the next incarnation elsewhere;
    the owner's polls soon detect whether the endpoint is alive.
    """
    return not known.born_ms or known.state is EndpointState.DRAINING
