# SPDX-License-Identifier: MIT
"""Messages to follow a job on another box and to hand over responses.

Owns the message numbers from 80, registered with :mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register


class Attach(NamedTuple):
    """Request for a job's response, sent to the coordinator that holds the claim.

    Args:
        submission: The submission id.
        digest: Digest of the job's content.
        coordinator: The box that holds the claim.
        incarnation: Incarnation of that box.
        attempt: Attempt number of the claim.
        wait_ms: How long to wait for the job to end.
    """

    submission: str
    digest: str
    coordinator: str
    incarnation: int
    attempt: int
    wait_ms: int


class AttachState(IntEnum):
    """State of the job at the coordinator.

    ``REFUSED`` is no longer sent; receivers treat it as ``WITHDRAWN``.
    """

    RUNNING = 0
    DONE = 1
    REFUSED = 2
    WITHDRAWN = 3
    CONFLICT = 4
    UNKNOWN = 5


class AttachReply(NamedTuple):
    """The job's state and, if ``DONE``, its response."""

    state: AttachState
    status: int = 0
    body: bytes = b""
    retry_after_ms: int = 0


class HandoverJob(NamedTuple):
    """A finished job and its response."""

    submission: str
    status: int
    body: bytes
    retry_after_ms: int


class Handover(NamedTuple):
    """Retained responses of a stopping box, sent to its successor."""

    incarnation: int
    jobs: list[HandoverJob]


class HandoverReply(NamedTuple):
    """Number of responses accepted."""

    taken: int


for _kind, _type in enumerate((Attach, AttachReply, Handover, HandoverReply), start=80):
    register(_kind, _type)
