# SPDX-License-Identifier: MIT
"""Model of the claim protocol, for exhaustive checking.

One submission, three claim replicas, two coordinators (0 and 1). A replica loses its claims in a
crash and copies them from the other two, in two steps, before it votes. Claim requests and
withdrawals can be lost, delayed or duplicated; vote replies and copies arrive at most once.

Reductions of the state space: both coordinators send their claims at the start, since requests
can arrive at any later time; of two votes of one incarnation the earlier one is kept, since it
carries the oldest known incarnations; votes that can no longer count are dropped; replicas keep
no record of withdrawals, so that a late request leaves a stale claim.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

REPLICAS = (0, 1, 2)
CLAIMING, STARTED, WITHDRAWN = range(3)

ClaimId = tuple[int, int]
Step = tuple[str, "State"]


class Rules(NamedTuple):
    """Protocol rules; each can be disabled to check that it is needed."""

    copies_before_voting: bool = True
    needs_second_vote: bool = True
    only_coordinator_withdraws: bool = True
    keeps_differing_copies: bool = True
    fences_votes: bool = True
    numbers_attempts: bool = True
    refuses_only_with_majority: bool = True


class Replica(NamedTuple):
    """A claim replica.

    ``copied_from`` holds the replicas copied from in this incarnation; it votes once both others
    are among them. ``known_incarnations`` holds the latest known incarnation of each replica.
    """

    incarnation: int = 0
    copied_from: frozenset[int] = frozenset(REPLICAS)
    claims: frozenset[ClaimId] = frozenset()
    known_incarnations: tuple[int, int, int] = (0, 0, 0)


class Vote(NamedTuple):
    """A vote as its coordinator receives it."""

    replica: int
    incarnation: int
    known_incarnations: tuple[int, int, int]


class Coordinator(NamedTuple):
    """A coordinator; ``attempt`` counts from 1."""

    phase: int = CLAIMING
    attempt: int = 1
    votes: frozenset[Vote] = frozenset()


class State(NamedTuple):
    """Replicas, coordinators, and messages in flight.

    ``copies`` holds (requester, its incarnation, server, claims, server's incarnation).
    ``is_false_refusal`` is set once a not-run answer was false.
    """

    replicas: tuple[Replica, Replica, Replica]
    coordinators: tuple[Coordinator, Coordinator]
    replies: frozenset[tuple[ClaimId, Vote]]
    copies: frozenset[tuple[int, int, int, frozenset[ClaimId], int]]
    crashes: int
    is_false_refusal: bool


class Bounds(NamedTuple):
    """Limits of the search: crashes in total, attempts of each coordinator."""

    crashes: int
    attempts: tuple[int, int]


def claims_protocol(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the minicheck protocol for *rules*."""
    initial_state = State(
        (Replica(),) * 3, (Coordinator(),) * 2, frozenset(), frozenset(), 0, False
    )
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=initial_state,
        transitions=lambda state: list(_steps(State(*state), rules, bounds)),
        invariants={
            "one_starter": _one_starter,
            "not_run_is_true": lambda fields: not fields["is_false_refusal"],
        },
    )


def _one_starter(fields: dict[str, object]) -> bool:
    coordinators: tuple[Coordinator, ...] = fields["coordinators"]  # type: ignore[assignment]
    return sum(1 for coordinator in coordinators if coordinator.phase == STARTED) <= 1


def _steps(state: State, rules: Rules, bounds: Bounds) -> Iterator[Step]:
    """Yield every enabled transition."""
    for coordinator_id in (0, 1):
        yield from _coordinator_steps(state, coordinator_id, rules, bounds)
        yield from _deliveries(state, coordinator_id, rules)
    for claim, vote in state.replies:
        yield _receive_vote(state, claim, vote)
    for replica_id in REPLICAS:
        if state.crashes < bounds.crashes:
            yield _crash(state, replica_id, rules)
        yield from _copy_requests(state, replica_id)
    for copy in state.copies:
        yield _receive_copy(state, copy, rules)


def _coordinator_steps(
    state: State, coordinator_id: int, rules: Rules, bounds: Bounds
) -> Iterator[Step]:
    coordinator = state.coordinators[coordinator_id]
    if coordinator.phase == WITHDRAWN and coordinator.attempt < bounds.attempts[coordinator_id]:
        fresh = Coordinator(CLAIMING, coordinator.attempt + 1, frozenset())
        yield f"c{coordinator_id} claims", _with_coordinator(state, coordinator_id, fresh)
    if coordinator.phase != CLAIMING:
        return
    if _is_won(coordinator, rules):
        started = coordinator._replace(phase=STARTED, votes=frozenset())
        yield f"c{coordinator_id} starts", _with_coordinator(state, coordinator_id, started)
    withdrawn = coordinator._replace(phase=WITHDRAWN, votes=frozenset())
    yield f"c{coordinator_id} withdraws", _with_coordinator(state, coordinator_id, withdrawn)
    if _is_won(coordinator, rules) or not rules.refuses_only_with_majority:
        other_started = state.coordinators[1 - coordinator_id].phase == STARTED
        refused = _with_coordinator(state, coordinator_id, withdrawn)
        has_false_refusal = refused.is_false_refusal or other_started
        yield (
            f"c{coordinator_id} refuses, not run",
            refused._replace(is_false_refusal=has_false_refusal),
        )


def _is_won(coordinator: Coordinator, rules: Rules) -> bool:
    votes = coordinator.votes
    if rules.fences_votes:
        votes = frozenset(
            vote
            for vote in votes
            if all(other.known_incarnations[vote.replica] <= vote.incarnation for other in votes)
        )
    voters = {vote.replica for vote in votes}
    return len(voters) >= (2 if rules.needs_second_vote else 1)


def _deliveries(state: State, coordinator_id: int, rules: Rules) -> Iterator[Step]:
    """Yield deliveries of the claim requests and withdrawals of all attempts so far."""
    coordinator = state.coordinators[coordinator_id]
    for attempt in range(1, coordinator.attempt + 1):
        claim = (coordinator_id, attempt)
        is_withdrawn = attempt < coordinator.attempt or coordinator.phase == WITHDRAWN
        for replica_id in REPLICAS:
            yield from _deliver_claim(state, replica_id, claim)
            if is_withdrawn:
                yield from _deliver_withdraw(state, replica_id, claim, rules)
            if not rules.only_coordinator_withdraws and claim in state.replicas[replica_id].claims:
                remaining = state.replicas[replica_id].claims - {claim}
                updated = state.replicas[replica_id]._replace(claims=remaining)
                yield f"r{replica_id} drops {claim}", _with_replica(state, replica_id, updated)


def _deliver_claim(state: State, replica_id: int, claim: ClaimId) -> Iterator[Step]:
    replica = state.replicas[replica_id]
    if len(replica.copied_from) < len(REPLICAS):
        return
    if any(held != claim and not _is_older(held, claim) for held in replica.claims):
        return
    updated = replica._replace(claims=frozenset({claim}))
    next_state = _with_replica(state, replica_id, updated)
    coordinator = state.coordinators[claim[0]]
    if claim[1] == coordinator.attempt and coordinator.phase == CLAIMING:
        vote = Vote(replica_id, replica.incarnation, replica.known_incarnations)
        if not _has_vote(state, claim, replica_id, replica.incarnation):
            next_state = next_state._replace(replies=state.replies | {(claim, vote)})
    if next_state != state:
        yield f"r{replica_id} votes for {claim}", next_state


def _has_vote(state: State, claim: ClaimId, replica_id: int, incarnation: int) -> bool:
    """Return whether a vote of this incarnation for *claim* is in flight or has arrived."""
    known_votes = [vote for claim_id, vote in state.replies if claim_id == claim]
    known_votes += state.coordinators[claim[0]].votes
    return any(
        vote.replica == replica_id and vote.incarnation == incarnation for vote in known_votes
    )


def _is_older(earlier: ClaimId, later: ClaimId) -> bool:
    return earlier[0] == later[0] and earlier[1] < later[1]


def _deliver_withdraw(
    state: State, replica_id: int, claim: ClaimId, rules: Rules
) -> Iterator[Step]:
    replica = state.replicas[replica_id]
    if rules.numbers_attempts:
        removed = frozenset(
            held for held in replica.claims if held == claim or _is_older(held, claim)
        )
    else:
        removed = frozenset(held for held in replica.claims if held[0] == claim[0])
    if removed:
        updated = replica._replace(claims=replica.claims - removed)
        yield (
            f"r{replica_id} receives withdrawal of {claim}",
            _with_replica(state, replica_id, updated),
        )


def _receive_vote(state: State, claim: ClaimId, vote: Vote) -> Step:
    remaining = state._replace(replies=state.replies - {(claim, vote)})
    coordinator = state.coordinators[claim[0]]
    votes = frozenset(
        received for received in coordinator.votes if received.replica != vote.replica
    ) | {vote}
    return f"c{claim[0]} gets vote of r{vote.replica}", _with_coordinator(
        remaining, claim[0], coordinator._replace(votes=votes)
    )


def _crash(state: State, replica_id: int, rules: Rules) -> Step:
    incarnation = state.replicas[replica_id].incarnation + 1
    known_incarnations = tuple(
        incarnation if other_id == replica_id else 0 for other_id in REPLICAS
    )
    copied_from = frozenset({replica_id}) if rules.copies_before_voting else frozenset(REPLICAS)
    fresh = Replica(incarnation, copied_from, frozenset(), known_incarnations)  # type: ignore[arg-type]
    copies = frozenset(copy for copy in state.copies if copy[0] != replica_id)
    next_state = _with_replica(state, replica_id, fresh)
    return f"r{replica_id} restarts empty", next_state._replace(
        crashes=state.crashes + 1, copies=copies
    )


def _copy_requests(state: State, requester_id: int) -> Iterator[Step]:
    replica = state.replicas[requester_id]
    for server_id in set(REPLICAS) - replica.copied_from:
        server = state.replicas[server_id]
        if len(server.copied_from) < len(REPLICAS):
            continue
        known_incarnations = _with_latest(
            server.known_incarnations, requester_id, replica.incarnation
        )
        next_state = _with_replica(
            state, server_id, server._replace(known_incarnations=known_incarnations)
        )
        copy = (requester_id, replica.incarnation, server_id, server.claims, server.incarnation)
        if not any(
            pending[0] == requester_id and pending[2] == server_id for pending in state.copies
        ):
            copies = state.copies | {copy}
            yield (
                f"r{server_id} serves a copy to r{requester_id}",
                next_state._replace(copies=copies),
            )


def _receive_copy(
    state: State, copy: tuple[int, int, int, frozenset[ClaimId], int], rules: Rules
) -> Step:
    requester_id, _incarnation, server_id, claims, server_incarnation = copy
    remaining = state._replace(copies=state.copies - {copy})
    replica = state.replicas[requester_id]
    merged = replica.claims | claims
    if not rules.keeps_differing_copies:
        merged = frozenset(sorted(merged)[:1])
    updated = replica._replace(
        claims=merged,
        copied_from=replica.copied_from | {server_id},
        known_incarnations=_with_latest(replica.known_incarnations, server_id, server_incarnation),
    )
    return f"r{requester_id} takes the copy of r{server_id}", _with_replica(
        remaining, requester_id, updated
    )


def _with_latest(
    known_incarnations: tuple[int, int, int], replica_id: int, incarnation: int
) -> tuple[int, int, int]:
    latest = list(known_incarnations)
    latest[replica_id] = max(latest[replica_id], incarnation)
    return latest[0], latest[1], latest[2]


def _with_replica(state: State, replica_id: int, replica: Replica) -> State:
    replicas = list(state.replicas)
    replicas[replica_id] = replica
    return state._replace(replicas=tuple(replicas))  # type: ignore[arg-type]


def _with_coordinator(state: State, coordinator_id: int, coordinator: Coordinator) -> State:
    """Return *state* with the coordinator replaced; drop votes that can no longer count."""
    coordinators = list(state.coordinators)
    coordinators[coordinator_id] = coordinator
    replies = state.replies
    if coordinator.phase != CLAIMING:
        replies = frozenset(reply for reply in replies if reply[0][0] != coordinator_id)
    return state._replace(coordinators=tuple(coordinators), replies=replies)  # type: ignore[arg-type]
