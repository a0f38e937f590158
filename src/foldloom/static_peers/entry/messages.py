# SPDX-License-Identifier: MIT
"""Messages about jobs: follow a job on another box, hand over answers.

Owns the numbers 80 and up of this path. Relies on the codec of :mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register


class Attach(NamedTuple):
    """A box with a resubmission asks the claim's coordinator for the job's response.

    Args:
        submission: The job.
        digest: The content's digest.
        coordinator: Who holds the claim.
        incarnation: That box's life.
        attempt: The claim's attempt.
        wait_ms: How long to wait for the end.
    """

    submission: str
    digest: str
    coordinator: str
    incarnation: int
    attempt: int
    wait_ms: int


class AttachState(IntEnum):
    """What the coordinator knows of the claim.

    ``REFUSED`` is sent by no box of this version, and means the same as ``WITHDRAWN``.
    """

    RUNNING = 0
    DONE = 1
    REFUSED = 2
    WITHDRAWN = 3
    CONFLICT = 4
    UNKNOWN = 5


class AttachReply(NamedTuple):
    """The job's state and, if there is one, its response."""

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
    """A box that stops gives the answers that it keeps to a peer."""

    incarnation: int
    jobs: list[HandoverJob]


class HandoverReply(NamedTuple):
    """How many answers were taken."""

    taken: int


for _kind, _type in enumerate((Attach, AttachReply, Handover, HandoverReply), start=80):
    register(_kind, _type)
