# SPDX-License-Identifier: MIT
"""Messages between entry boxes and owners: delivery of runs, their ends, cancels, work stealing.

Message numbers are part of the wire format and are never reused. The codec is in
:mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register
from foldloom.seed_discovery.fleet.messages import OwnerRecord
from foldloom.seed_discovery.jobs.spec import Demand, Placement, RunId, TaskId
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from foldloom.seed_discovery.scheduling.remote_groups import GroupId, GroupSummary


class RunOrder(NamedTuple):
    """One run to be started.

    Args:
        step: Index of the step.
        position: Index of the task in its step.
        attempt: Attempt number of the task, from 1.
        is_resumed: Whether it may have been delivered to an earlier owner.
        is_moved: Whether it was delivered before, in another zone or an earlier session.
        delivery: Delivery number; retransmissions keep it, any other repeated delivery gets a new
            one. 0 if not counted.
        crashes: Number of endpoint crashes during the task, as counted by the box.
    """

    step: int
    position: int
    attempt: int
    is_resumed: bool = False
    is_moved: bool = False
    delivery: int = 0
    crashes: CrashCount = CrashCount()


class Objective(NamedTuple):
    """A job's response-time objective: stretch x critical path + slack, from its arrival.

    Args:
        elapsed_ms: Time since the job's arrival.
        stretch: Factor on the critical path.
        slack_ms: Constant part.
        other_steps_ms: Duration of the other steps on the critical path.
    """

    elapsed_ms: int = 0
    stretch: float = 1.0
    slack_ms: int = 0
    other_steps_ms: int = 0


class EndpointBinding(NamedTuple):
    """Restricts a task to the only endpoint on which it may start.

    Args:
        run_id: The task, and the attempt whose start order the endpoint may still execute.
        endpoint: The endpoint.
        is_lifted: Whether the endpoint will certainly not execute the order any more.
    """

    run_id: RunId
    endpoint: str
    is_lifted: bool = False


class SubmitRuns(NamedTuple):
    """Delivery of runs of one step of a job to an owner.

    Args:
        token: The owner's token.
        job_id: The job.
        repeat: Repetition of the job.
        queue: Queue to which the job was submitted.
        service: Service whose endpoints run it.
        spec: Input of its tasks.
        demand: Resources per task.
        placement: Placement constraints.
        priority: Priority; 0 is the highest.
        tasks: Total number of tasks of the step.
        estimate_ms: Estimated duration of a task.
        objective: Response-time objective of the job.
        deadline_ms: Time left until the job's deadline.
        old_right_ms: How much longer an earlier owner may run these.
        orders: The runs.
        bindings: Bindings of their tasks to endpoints of the owner's zone.
        is_renewed: Whether they were delivered to the same owner in an earlier session.
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
    bindings: tuple[EndpointBinding, ...] = ()
    is_renewed: bool = False


class SubmitStatus(IntEnum):
    """Result of a delivery of runs.

    ``NOT_OWNER``: the delivery is to be sent again, to the owner at that time. The receiver is not
    the owner, may not be it any more, or can't take runs of this box yet.
    """

    TAKEN = 0
    REFUSED = 1
    NOT_OWNER = 2


class SubmitReply(NamedTuple):
    """Reply to a delivery; if refused, with the delay until a retry."""

    status: SubmitStatus
    reason: str = ""
    retry_after_ms: int = 0


class CancelJob(NamedTuple):
    """Cancels a job and stops its runs.

    Args:
        job_id: The job.
        token: Token of the term to which its runs were delivered; other terms have no record of
            its starts. 0 from the previous release: any term answers.
        delivery: Newest delivery to cancel; later ones belong to a resubmission of the same id. 0
            cancels all.
    """

    job_id: str
    token: int = 0
    delivery: int = 0


class Cancelled(NamedTuple):
    """Reply to a cancel; ``has_started`` is false only if no run of the job started here."""

    has_started: bool = True


class EndCause(IntEnum):
    """How a run that was delivered to an owner ended.

    ``MOVED``: it is on no endpoint and is to be delivered to the owner of another zone.
    ``UNATTAINABLE``: it is on no endpoint, and its job can no longer meet its deadline.
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
        """The cause in logs and counter names; ``UNATTAINABLE`` keeps its earlier label."""
        return "hopeless" if self is EndCause.UNATTAINABLE else self.name.lower()


class RunEnd(NamedTuple):
    """The end of one run; the run is certainly not on any endpoint any more.

    Args:
        run_id: The run.
        cause: Cause of the end.
        endpoint: Endpoint of the run; empty if it never started.
        ran_ms: Duration of the run as observed by the owner.
        checkpoint: Checkpoint for resumption.
        moved_to: With ``MOVED``, the target zone.
        has_started: Whether any run of the job may have started in this term.
        delivery: Delivery number of the run; 0 if not counted.
        crashes: Number of endpoint crashes during the task, as counted by the owner.
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


class TaskCrashes(NamedTuple):
    """Crash count of a task; 0 after it has ended normally."""

    task: TaskId
    crashes: CrashCount


TaskReport = TaskCrashes | EndpointBinding
"""What an owner reports to all boxes about a task, for the task's next owner."""


class StartOrdered(NamedTuple):
    """Tells a box that its run is being started, so that a later owner learns of the order.

    Args:
        run_id: The run.
        endpoint: The endpoint that the start order is sent to.
        is_answered: Whether the endpoint has answered, so that the order is not in flight any more.
    """

    run_id: RunId
    endpoint: str
    is_answered: bool = False


class EndpointList(NamedTuple):
    """The endpoints on which an owner starts runs; replaces lists with lower revisions."""

    revision: int = 0
    endpoints: tuple[str, ...] = ()


class RunsEnded(NamedTuple):
    """Ends of runs and reports on tasks, from an owner to a box; retransmitted until acknowledged.

    A box reports the bindings that a lost owner could not report in the same way.

    Args:
        zone: The owner's zone.
        ends: Ends of runs that the box has delivered.
        token: The owner's token; 0 from the previous release.
        crashes: New crash counts, of any box's tasks.
        bindings: New and lifted bindings, of any box's tasks.
        starts: Start orders for runs that the box has delivered.
        owner_starts: Start orders for runs that only the owner's own box has delivered; sent to the
            box that acquires the zone if both are lost.
        announced: The endpoints on which the owner starts runs, if that list has changed. Until it
            is acknowledged, no run of the box starts on an added endpoint.
    """

    zone: str
    ends: list[RunEnd]
    token: int = 0
    crashes: tuple[TaskCrashes, ...] = ()
    bindings: tuple[EndpointBinding, ...] = ()
    starts: tuple[StartOrdered, ...] = ()
    owner_starts: tuple[StartOrdered, ...] = ()
    announced: EndpointList | None = None


class EndsNoted(NamedTuple):
    """Acknowledges :class:`RunsEnded`.

    Args:
        is_present_owner: Whether the box follows the sender. If not, it has ignored the announced
            endpoints, since it has told the next owner of those that it knew.
    """

    is_present_owner: bool = True


class SessionBegan(NamedTuple):
    """Announces a new session of an owner with a box after the previous one expired.

    The owner has dropped the runs of the expired session, so the box must deliver open runs again.
    """

    zone: str
    token: int


class SessionNoted(NamedTuple):
    """Acknowledges :class:`SessionBegan`."""


class WaitingGroups(NamedTuple):
    """Offer of an owner's queued runs to the owners of other zones."""

    owner: OwnerRecord
    groups: list[GroupSummary]


class StealRuns(NamedTuple):
    """Work-stealing request of an owner with free capacity for another owner's queued runs."""

    zone: str
    group: GroupId
    runs: int


class StealReply(NamedTuple):
    """Number of runs released to the requesting owner; their box delivers them."""

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
    # Metrics keep the earlier names of these two messages.
    _label = {StealRuns: "ClaimRuns", StealReply: "ClaimReply"}.get(_type, "")
    register(_kind, _type, _label)
