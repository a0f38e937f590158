# SPDX-License-Identifier: MIT
"""A small specification of the claim protocol, for exhaustive checking.

One submission, three claim replicas, two coordinators (0 and 1). Replicas lose their memory
in a crash and copy claims back, in two steps, before they vote. Claim requests and
withdrawals stay deliverable for ever once sent (lost, late, doubled); vote replies and
copies arrive once, at any later time, or never.

Kept small without losing a way to break it: both coordinators ask at the start, since their
requests may arrive at any later time; of two votes of one life the earlier one is kept, as
it knows least and so hides most; votes that can count no more are dropped; replicas remember
no withdrawals, so a late request leaves a stale claim.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

REPLICAS = (0, 1, 2)
ASKING, STARTED, WITHDRAWN = range(3)

ClaimId = tuple[int, int]
Step = tuple[str, "State"]


class Rules(NamedTuple):
    """Which rules of the protocol hold; each may be left out to see what breaks."""

    copies_before_voting: bool = True
    needs_second_vote: bool = True
    only_coordinator_withdraws: bool = True
    keeps_differing_copies: bool = True
    fences_votes: bool = True
    numbers_attempts: bool = True
    refuses_only_with_majority: bool = True


class Replica(NamedTuple):
    """A claim replica.

    ``copied`` names the replicas copied from in this life; both others make it vote.
    ``known`` holds the newest life known of each replica.
    """

    life: int = 0
    copied: frozenset[int] = frozenset(REPLICAS)
    claims: frozenset[ClaimId] = frozenset()
    known: tuple[int, int, int] = (0, 0, 0)


class VoteSeen(NamedTuple):
    """A vote as its coordinator sees it."""

    replica: int
    life: int
    known: tuple[int, int, int]


class Coordinator(NamedTuple):
    """A coordinator; ``attempt`` counts from 1."""

    phase: int = ASKING
    attempt: int = 1
    votes: frozenset[VoteSeen] = frozenset()


class State(NamedTuple):
    """Everything. ``copies`` holds copies under way: (asker, life, server, claims, server life).

    ``is_false_refusal`` remembers whether a not-run answer was ever untrue.
    """

    replicas: tuple[Replica, Replica, Replica]
    coordinators: tuple[Coordinator, Coordinator]
    replies: frozenset[tuple[ClaimId, VoteSeen]]
    copies: frozenset[tuple[int, int, int, frozenset[ClaimId], int]]
    crashes: int
    is_false_refusal: bool


class Bounds(NamedTuple):
    """How far the search goes."""

    crashes: int
    attempts: tuple[int, int]


def claims_protocol(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the protocol under *rules* as minicheck takes it."""
    start = State((Replica(),) * 3, (Coordinator(),) * 2, frozenset(), frozenset(), 0, False)
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=start,
        transitions=lambda state: list(_steps(State(*state), rules, bounds)),
        invariants={
            "one_starter": _one_starter,
            "not_run_is_true": lambda fields: not fields["is_false_refusal"],
        },
    )


def _one_starter(fields: dict[str, object]) -> bool:
    coordinators: tuple[Coordinator, ...] = fields["coordinators"]  # type: ignore[assignment]
    return sum(1 for one in coordinators if one.phase == STARTED) <= 1


def _steps(state: State, rules: Rules, bounds: Bounds) -> Iterator[Step]:
    """Yield every step that may come next."""
    for who in (0, 1):
        yield from _coordinator_steps(state, who, rules, bounds)
        yield from _deliveries(state, who, rules)
    for claim, vote in state.replies:
        yield _take_reply(state, claim, vote)
    for number in REPLICAS:
        if state.crashes < bounds.crashes:
            yield _crash(state, number, rules)
        yield from _copy_requests(state, number)
    for copy in state.copies:
        yield _take_copy(state, copy, rules)


def _coordinator_steps(state: State, who: int, rules: Rules, bounds: Bounds) -> Iterator[Step]:
    me = state.coordinators[who]
    if me.phase == WITHDRAWN and me.attempt < bounds.attempts[who]:
        fresh = Coordinator(ASKING, me.attempt + 1, frozenset())
        yield f"c{who} asks", _with_coordinator(state, who, fresh)
    if me.phase != ASKING:
        return
    if _is_won(me, rules):
        started = me._replace(phase=STARTED, votes=frozenset())
        yield f"c{who} starts", _with_coordinator(state, who, started)
    left = me._replace(phase=WITHDRAWN, votes=frozenset())
    yield f"c{who} withdraws", _with_coordinator(state, who, left)
    if _is_won(me, rules) or not rules.refuses_only_with_majority:
        is_false = state.coordinators[1 - who].phase == STARTED
        refused = _with_coordinator(state, who, left)
        lied = refused.is_false_refusal or is_false
        yield f"c{who} refuses, not run", refused._replace(is_false_refusal=lied)


def _is_won(me: Coordinator, rules: Rules) -> bool:
    votes = me.votes
    if rules.fences_votes:
        votes = frozenset(
            vote for vote in votes if all(o.known[vote.replica] <= vote.life for o in votes)
        )
    voters = {vote.replica for vote in votes}
    return len(voters) >= (2 if rules.needs_second_vote else 1)


def _deliveries(state: State, who: int, rules: Rules) -> Iterator[Step]:
    """Claim requests and withdrawals of every attempt so far may arrive, again and again."""
    me = state.coordinators[who]
    for attempt in range(1, me.attempt + 1):
        claim = (who, attempt)
        is_withdrawn = attempt < me.attempt or me.phase == WITHDRAWN
        for number in REPLICAS:
            yield from _deliver_claim(state, number, claim)
            if is_withdrawn:
                yield from _deliver_withdraw(state, number, claim, rules)
            if not rules.only_coordinator_withdraws and claim in state.replicas[number].claims:
                rest = state.replicas[number].claims - {claim}
                changed = state.replicas[number]._replace(claims=rest)
                yield f"r{number} drops {claim}", _with_replica(state, number, changed)


def _deliver_claim(state: State, number: int, claim: ClaimId) -> Iterator[Step]:
    replica = state.replicas[number]
    if len(replica.copied) < len(REPLICAS):
        return
    if any(one != claim and not _is_older(one, claim) for one in replica.claims):
        return
    changed = replica._replace(claims=frozenset({claim}))
    after = _with_replica(state, number, changed)
    me = state.coordinators[claim[0]]
    if claim[1] == me.attempt and me.phase == ASKING:
        vote = VoteSeen(number, replica.life, replica.known)
        if not _has_vote(state, claim, number, replica.life):
            after = after._replace(replies=state.replies | {(claim, vote)})
    if after != state:
        yield f"r{number} votes for {claim}", after


def _has_vote(state: State, claim: ClaimId, number: int, life: int) -> bool:
    """Return whether a vote of this life for *claim* is under way or has arrived."""
    seen = [vote for one, vote in state.replies if one == claim]
    seen += state.coordinators[claim[0]].votes
    return any(vote.replica == number and vote.life == life for vote in seen)


def _is_older(one: ClaimId, claim: ClaimId) -> bool:
    return one[0] == claim[0] and one[1] < claim[1]


def _deliver_withdraw(state: State, number: int, claim: ClaimId, rules: Rules) -> Iterator[Step]:
    replica = state.replicas[number]
    if rules.numbers_attempts:
        leaving = frozenset(one for one in replica.claims if one == claim or _is_older(one, claim))
    else:
        leaving = frozenset(one for one in replica.claims if one[0] == claim[0])
    if leaving:
        changed = replica._replace(claims=replica.claims - leaving)
        yield f"r{number} hears {claim} withdrawn", _with_replica(state, number, changed)


def _take_reply(state: State, claim: ClaimId, vote: VoteSeen) -> Step:
    rest = state._replace(replies=state.replies - {(claim, vote)})
    me = state.coordinators[claim[0]]
    votes = frozenset(one for one in me.votes if one.replica != vote.replica) | {vote}
    return f"c{claim[0]} gets vote of r{vote.replica}", _with_coordinator(
        rest, claim[0], me._replace(votes=votes)
    )


def _crash(state: State, number: int, rules: Rules) -> Step:
    life = state.replicas[number].life + 1
    known = tuple(life if n == number else 0 for n in REPLICAS)
    copied = frozenset({number}) if rules.copies_before_voting else frozenset(REPLICAS)
    fresh = Replica(life, copied, frozenset(), known)  # type: ignore[arg-type]
    copies = frozenset(copy for copy in state.copies if copy[0] != number)
    after = _with_replica(state, number, fresh)
    return f"r{number} restarts empty", after._replace(crashes=state.crashes + 1, copies=copies)


def _copy_requests(state: State, asker: int) -> Iterator[Step]:
    replica = state.replicas[asker]
    for server in set(REPLICAS) - replica.copied:
        serving = state.replicas[server]
        if len(serving.copied) < len(REPLICAS):
            continue
        known = _raised(serving.known, asker, replica.life)
        after = _with_replica(state, server, serving._replace(known=known))
        copy = (asker, replica.life, server, serving.claims, serving.life)
        if not any(one[0] == asker and one[2] == server for one in state.copies):
            copies = state.copies | {copy}
            yield f"r{server} serves a copy to r{asker}", after._replace(copies=copies)


def _take_copy(
    state: State, copy: tuple[int, int, int, frozenset[ClaimId], int], rules: Rules
) -> Step:
    asker, _life, server, claims, server_life = copy
    rest = state._replace(copies=state.copies - {copy})
    replica = state.replicas[asker]
    merged = replica.claims | claims
    if not rules.keeps_differing_copies:
        merged = frozenset(sorted(merged)[:1])
    changed = replica._replace(
        claims=merged,
        copied=replica.copied | {server},
        known=_raised(replica.known, server, server_life),
    )
    return f"r{asker} takes the copy of r{server}", _with_replica(rest, asker, changed)


def _raised(known: tuple[int, int, int], number: int, life: int) -> tuple[int, int, int]:
    raised = list(known)
    raised[number] = max(raised[number], life)
    return raised[0], raised[1], raised[2]


def _with_replica(state: State, number: int, replica: Replica) -> State:
    replicas = list(state.replicas)
    replicas[number] = replica
    return state._replace(replicas=tuple(replicas))  # type: ignore[arg-type]


def _with_coordinator(state: State, who: int, coordinator: Coordinator) -> State:
    """Return *state* with the coordinator changed; votes that count no more are dropped."""
    coordinators = list(state.coordinators)
    coordinators[who] = coordinator
    replies = state.replies
    if coordinator.phase != ASKING:
        replies = frozenset(one for one in replies if one[0][0] != who)
    return state._replace(coordinators=tuple(coordinators), replies=replies)  # type: ignore[arg-type]
