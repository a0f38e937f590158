# SPDX-License-Identifier: MIT
"""Messages between entry boxes and the owners of endpoints: runs, their ends, cancels.

Owns the numbers of these messages, which are never used again. Relies on the codec of
:mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register
from foldloom.seed_discovery.fleet.messages import OwnerRecord
from foldloom.seed_discovery.jobs.spec import Demand, Placement, RunId
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from foldloom.seed_discovery.scheduling.sharing import GroupId, GroupSummary


class RunOrder(NamedTuple):
    """One run to be started.

    Args:
        step: The step's number.
        position: The task's place in its step.
        attempt: Counts the task's starts, from 1.
        is_resumed: Whether it may have been delivered to an earlier owner.
        is_moved: Whether another zone's owner gave it up for room here.
        delivery: Counts the box's deliveries of runs to owners: the same in each retransmission
            of a message, another one when the run is sent again for another reason; 0 if it is
            not counted.
        crashes: How many endpoints have crashed under the task, as the box knows.
    """

    step: int
    position: int
    attempt: int
    is_resumed: bool = False
    is_moved: bool = False
    delivery: int = 0
    crashes: CrashCount = CrashCount()


class Objective(NamedTuple):
    """How soon a job should end: stretch x its longest chain + slack, from its arrival.

    Args:
        elapsed_ms: How long ago it arrived.
        stretch: Times the longest chain.
        slack_ms: Added to it.
        other_ms: How long the chain's other steps take.
    """

    elapsed_ms: int = 0
    stretch: float = 1.0
    slack_ms: int = 0
    other_ms: int = 0


class SubmitRuns(NamedTuple):
    """A box delivers runs of one step of a job to an owner.

    Args:
        token: The owner's token.
        job_id: The job.
        repeat: Which time of it.
        queue: Where the job was handed in.
        service: Whose endpoints run it.
        spec: What its tasks are given.
        demand: What each task takes.
        placement: Where they may run.
        priority: 0 comes first.
        tasks: How many tasks the step has in all.
        estimate_ms: A rough guess of how long a task takes.
        objective: How soon the job should end.
        deadline_ms: When it is given up, from now.
        old_right_ms: For how much longer an earlier owner may run these.
        orders: The runs.
    """

    token: int
    job_id: str
    repeat: int
    queue: str
    service: str
    spec: str
    demand: Demand
    placement: Placement
    priority: int
    tasks: int
    estimate_ms: int
    objective: Objective
    deadline_ms: int
    old_right_ms: int
    orders: list[RunOrder]


class SubmitStatus(IntEnum):
    """What an owner did with runs that were delivered to it."""

    TAKEN = 0
    REFUSED = 1
    NOT_OWNER = 2


class SubmitReply(NamedTuple):
    """Whether the runs were taken; if not, when to try again."""

    status: SubmitStatus
    reason: str = ""
    retry_after_ms: int = 0


class CancelJob(NamedTuple):
    """A box cancels a job: what runs of it is stopped.

    Args:
        job_id: The job.
        token: The term that runs of it were delivered to: another one can't say whether any was
            started. 0 from a box of the release before: any term answers.
        delivery: The box's newest delivery of it that is cancelled; later ones are of the same
            id handed in again. 0 if it is not counted: all are.
    """

    job_id: str
    token: int = 0
    delivery: int = 0


class Cancelled(NamedTuple):
    """The cancel is known; ``has_started`` unless no run of the job ever started here."""

    has_started: bool = True


class EndCause(IntEnum):
    """How a run that was delivered to an owner ended.

    ``MOVED``: it is on no endpoint and is to be delivered to another zone's owner.
    ``UNATTAINABLE``: it is on no endpoint, and its job can't be answered in time any more.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    LOST = 4
    MOVED = 5
    REFUSED = 6
    UNATTAINABLE = 7

    @property
    def label(self) -> str:
        """The cause in logs and in names of counters, which keep an older word for one of them."""
        return "hopeless" if self is EndCause.UNATTAINABLE else self.name.lower()


class RunEnd(NamedTuple):
    """The end of one run; after it the run is certainly not on any endpoint.

    Args:
        run_id: The run.
        cause: How it ended.
        endpoint: Where it ran; empty if it never started.
        ran_ms: How long it ran, as the owner saw it.
        checkpoint: Where it could go on from.
        moved_to: With ``MOVED``, the zone.
        has_started: Whether anything of the job may ever have been started in this term.
        delivery: The delivery of the run that this is about, 0 if it is not counted.
        crashes: How many endpoints have crashed under the task, as the owner knows.
    """

    run_id: RunId
    cause: EndCause
    endpoint: str = ""
    ran_ms: int = 0
    checkpoint: str = ""
    moved_to: str = ""
    has_started: bool = True
    delivery: int = 0
    crashes: CrashCount = CrashCount()


class RunsEnded(NamedTuple):
    """A zone's owner notifies a box of ends; sent again until it is acknowledged.

    ``token``: the owner's term, 0 from an owner of the release before.
    """

    zone: str
    ends: list[RunEnd]
    token: int = 0


class EndsNoted(NamedTuple):
    """The ends are known."""


class SessionBegan(NamedTuple):
    """A box granted a zone's owner its right again after it had lapsed.

    It has dropped all that the box had delivered to it; what is still open there must be delivered
    over again.
    """

    zone: str
    token: int


class SessionNoted(NamedTuple):
    """What is open is delivered again."""


class WaitingGroups(NamedTuple):
    """An owner offers the owners of other zones what waits for room in its own."""

    owner: OwnerRecord
    groups: list[GroupSummary]


class StealRuns(NamedTuple):
    """An owner with free room asks another one for runs that wait, to steal them."""

    zone: str
    group: GroupId
    runs: int


class StealReply(NamedTuple):
    """How many runs their box is notified to deliver to the owner that asks."""

    runs: int


for _kind, _type in enumerate(
    (
        SubmitRuns,
        SubmitReply,
        CancelJob,
        Cancelled,
        RunsEnded,
        EndsNoted,
        WaitingGroups,
        StealRuns,
        StealReply,
        SessionBegan,
        SessionNoted,
    ),
    start=100,
):
    # The counters of sent messages keep the names that these two had before.
    _label = {StealRuns: "ClaimRuns", StealReply: "ClaimReply"}.get(_type, "")
    register(_kind, _type, _label)
