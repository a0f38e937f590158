# SPDX-License-Identifier: MIT
"""Calls to endpoints, independent of their protocol.

Types, and the interface that an adapter implements. The adapter's outcome must distinguish a call
that had no effect from one that may have been carried out.

One lease, measured by the endpoint's own monotonic clock, covers all runs on an endpoint. A poll
lists the active runs and the ended ones; an end is listed until a later poll acknowledges its
sequence.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.jobs.spec import RunId


class CallOutcome(Enum):
    """The outcome of a call to an endpoint."""

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    REFUSED = "refused"
    INVALID = "invalid"
    OTHER_LIFE = "other-life"
    NO_LISTENER = "no-listener"
    """Connection refused: the endpoint has crashed or exited, and the call had no effect."""
    NOT_SENT = "not-sent"
    """The call was not made, because the endpoint did not respond to a check before it."""
    DISCONNECTED = "disconnected"
    """The connection ended without a response: the incarnation that it led to may have carried out
    the call or still do so, but no later one will."""
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
    """A run that is active on an endpoint."""

    run_id: RunId
    checkpoint: str = ""
    percent: int = 100


class EndedRun(NamedTuple):
    """A run that has ended; ``sequence`` increases within an incarnation of the endpoint."""

    sequence: int
    run_id: RunId
    kind: EndKind
    checkpoint: str = ""


class EndpointReport(NamedTuple):
    """The content of an endpoint's reply to a poll.

    Args:
        endpoint: The endpoint's id.
        active: The active runs.
        ended: The ended runs that the owner has not received before.
        polled_ms: When the owner sent the poll; own monotonic clock. Later events may be missing.
        born_ms: Start time of the replying incarnation; 0 if not reported.
    """

    endpoint: str
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    polled_ms: float
    born_ms: int = 0


class StartOrder(NamedTuple):
    """An order to start a run.

    Args:
        run_id: The run.
        spec: The task's input, opaque to the dispatcher.
        token: The owner's fencing token.
        until_ms: The end of the lease, by the endpoint's clock.
        checkpoint: The checkpoint to resume from; empty to start from the beginning.
    """

    run_id: RunId
    spec: str
    token: int
    until_ms: int
    checkpoint: str = ""


class PollOrder(NamedTuple):
    """A long poll of an endpoint, which may also renew its lease.

    Args:
        token: The owner's fencing token.
        last_sequence: Acknowledges ends up to this sequence, which the endpoint may then drop.
        until_ms: The new end of the lease, by the endpoint's clock; 0 to leave it unchanged.
        wait_ms: How long the endpoint may delay its reply until a run ends.
    """

    token: int
    last_sequence: int
    until_ms: int
    wait_ms: int


class CallReply(NamedTuple):
    """The reply to a start or stop call.

    Args:
        outcome: The outcome of the call.
        clock_ms: The endpoint's clock at the reply; 0 if not reported.
        detail: Text for the log.
        born_ms: Start time of the replying incarnation; 0 if not reported.
    """

    outcome: CallOutcome
    clock_ms: int = 0
    detail: str = ""
    born_ms: int = 0


class PollReply(NamedTuple):
    """The reply to a poll; ``active`` and ``ended`` are valid only if ``outcome`` is ``DONE``."""

    outcome: CallOutcome
    clock_ms: int = 0
    active: tuple[ActiveRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    detail: str = ""
    born_ms: int = 0


class EndpointCalls(Protocol):
    """Calls to endpoints; endpoint and network failures are outcomes, not exceptions."""

    async def start_run(self, endpoint: EndpointRecord, order: StartOrder) -> CallReply:
        """Start a run; idempotent."""

    async def stop_run(self, endpoint: EndpointRecord, run_id: RunId, token: int) -> CallReply:
        """Stop a run, or prevent its start if the start order has not arrived yet."""

    async def poll(self, endpoint: EndpointRecord, order: PollOrder) -> PollReply:
        """Return the active and the newly ended runs, and renew the lease."""
