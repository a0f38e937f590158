# SPDX-License-Identifier: MIT
"""What endpoints say of themselves in their heartbeats, and which of two reports holds.

Owns nothing: types, and the decision in :func:`classify_report`.
"""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand


class EndpointState(StrEnum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointRecord(NamedTuple):
    """One life of an endpoint, as its newest heartbeat describes it.

    Args:
        endpoint: Its id. Other lives may have had it before, also at the same address.
        service: The service that it belongs to.
        address: ``IP:port`` where it takes orders.
        zone: Its zone.
        capacity: All that tasks may take together.
        labels: Its kind, its rack and the like.
        state: Whether it takes new work.
        sequence: Rises with each heartbeat of this life.
        version: Of its software.
        cold_left_ms: How much longer it is slow from its start.
        remaining_ms: While it drains, the least time that it stays.
        born_ms: When this life began, in Unix milliseconds by its own clock: with the id it names
            the life. 0 if it does not say; its id then belongs to this life alone.
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

    def is_equivalent_to(self, other: EndpointRecord) -> bool:
        """Return whether *other* differs in nothing that decisions use."""
        return self._replace(sequence=0, cold_left_ms=0, remaining_ms=0) == other._replace(
            sequence=0, cold_left_ms=0, remaining_ms=0
        )


class ReportVerdict(Enum):
    """Whether a report holds, and why not; the values stand in logs."""

    FIRST = "first"
    NEXT_LIFE = "next life"
    NEWER = "newer"
    EARLIER_LIFE = "earlier life"
    LATE = "late"
    LEAVES_ALREADY = "leaves already"
    HAS_LEFT = "has left"

    @property
    def is_accepted(self) -> bool:
        """Whether the report replaces what is known."""
        return self in (ReportVerdict.FIRST, ReportVerdict.NEXT_LIFE, ReportVerdict.NEWER)


# A life goes through its states in this order and never back.
_STATES_IN_ORDER = (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


def classify_report(record: EndpointRecord, known: EndpointRecord | None) -> ReportVerdict:
    """Return whether *record* holds over what is *known* of its endpoint.

    Reports are ordered by life, then by state, then by sequence, so that the same one holds at
    every box, whoever told it last. The sequence alone starts anew with each life: while it
    decided, a life that began anew was heard only after 12 s, and its leave not at all.

    A life that says it was born earlier counts as an earlier one, also where the endpoint's time
    of day was set back in between: nothing else tells it from a heartbeat that was held up. Such
    an endpoint gets no work until the life before is forgotten, after 15 s of silence.
    """
    if known is None:
        return ReportVerdict.FIRST
    if record.born_ms > known.born_ms:
        return ReportVerdict.NEXT_LIFE
    if record.born_ms < known.born_ms:
        # One that does not say when it was born is not from the endpoint: that one does.
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
    """Return whether a farewell, which does not say of which life it is, is of the *known* one.

    A life says that it is draining before it bids farewell. One that is ready has not: the
    farewell is of the life before, or the leave was told elsewhere. It is left to the owner's
    polls, which show within 0.7 s whether it lives; taken at its word, a late one would start
    everything that the next life runs a second time.
    """
    return not known.born_ms or known.state is EndpointState.DRAINING
