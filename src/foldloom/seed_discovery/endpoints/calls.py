# SPDX-License-Identifier: MIT
"""Calls to endpoints, whatever protocol they speak.

Owns nothing: types, and the interface that an adapter implements. Relies on the adapter to say
whether a call may have been carried out.

An endpoint runs what it was started with under a lease that covers everything on it, measured by
its own steady clock. It lists what runs and what has ended; ends are listed until a later call
says that they were seen.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.jobs.spec import RunId


class CallOutcome(Enum):
    """What became of a call to an endpoint."""

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    REFUSED = "refused"
    INVALID = "invalid"
    OTHER_LIFE = "other-life"
    NO_LISTENER = "no-listener"
    """Nothing listens at its address: it has crashed or ended, and the call did not reach it."""
    UNKNOWN = "unknown"


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class ActiveRun(NamedTuple):
    """A run that an endpoint lists as present."""

    run_id: RunId
    checkpoint: str = ""
    percent: int = 100


class EndedRun(NamedTuple):
    """An end that an endpoint lists; ``sequence`` rises within one life of the endpoint."""

    sequence: int
    run_id: RunId
    how: EndKind
    checkpoint: str = ""


class EndpointReport(NamedTuple):
    """What an endpoint lists in its answer to a poll.

    Args:
        endpoint: The endpoint's id.
        active: The runs that are present.
        ended: The ends that the owner has not received before.
        asked_ms: When the owner asked, by its steady clock: the report knows nothing later.
        born_ms: Which life of it lists them; 0 if it does not say.
    """

    endpoint: str
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    asked_ms: float
    born_ms: int = 0


class StartOrder(NamedTuple):
    """An order to start a run.

    Args:
        run_id: The run.
        spec: The task's input, passed on unread.
        token: The owner's fencing token.
        until_ms: The end of the lease, by the endpoint's clock.
        checkpoint: Where to go on from; empty for the beginning.
    """

    run_id: RunId
    spec: str
    token: int
    until_ms: int
    checkpoint: str = ""


class PollOrder(NamedTuple):
    """A poll of an endpoint, which may renew its lease and wait for an end.

    Args:
        token: The owner's fencing token.
        last_sequence: The sequence up to which ends were received; the endpoint forgets these.
        until_ms: The new end of the lease, by the endpoint's clock; 0 to renew nothing.
        wait_ms: How long the answer may wait for an end.
    """

    token: int
    last_sequence: int
    until_ms: int
    wait_ms: int


class CallReply(NamedTuple):
    """The answer to an order.

    Args:
        outcome: What became of it.
        clock_ms: The endpoint's clock when it answered; 0 if it gave none.
        detail: For the log.
        born_ms: Which life of the endpoint answered; 0 if it does not say.
    """

    outcome: CallOutcome
    clock_ms: int = 0
    detail: str = ""
    born_ms: int = 0


class PollReply(NamedTuple):
    """The answer to a poll; it lists runs and ends only if ``outcome`` is ``DONE``."""

    outcome: CallOutcome
    clock_ms: int = 0
    active: tuple[ActiveRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    detail: str = ""
    born_ms: int = 0


class EndpointCalls(Protocol):
    """Calls to endpoints; none of them raises for what an endpoint or the network does."""

    async def start_run(self, endpoint: EndpointRecord, order: StartOrder) -> CallReply:
        """Start a run; the same order again changes nothing."""

    async def stop_run(self, endpoint: EndpointRecord, run_id: RunId, token: int) -> CallReply:
        """Stop a run; one that is not there yet will never start."""

    async def poll(self, endpoint: EndpointRecord, order: PollOrder) -> PollReply:
        """Return what runs and what has ended, and renew the lease."""
