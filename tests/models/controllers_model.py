# SPDX-License-Identifier: MIT
"""A small specification of the controllers' log, for exhaustive checking.

Three controllers, terms up to a bound, at most two entries a log, one wiped disk, crashes
that lose unsynced votes. Messages are steps between two controllers that may happen late or
never, which covers cuts; a vote that was told stays told.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

CONTROLLERS = (0, 1, 2)
NOBODY = -1
FOLLOWER, CANDIDATE, LEADER = range(3)

Log = tuple[int, ...]


class Rules(NamedTuple):
    """Which rules hold; each may be left out to see what breaks."""

    syncs_votes: bool = True
    readmits_wiped: bool = True
    commits_current_term: bool = True
    others_follow_first: bool = True


class Bounds(NamedTuple):
    """How far the search goes."""

    terms: int
    entries: int
    crashes: int
    wipes: int


class Controller(NamedTuple):
    """A controller; a log entry is the term that made it; ``is_counted`` after a wipe is false."""

    role: int = FOLLOWER
    term: int = 0
    vote: int = NOBODY
    log: Log = ()
    votes: frozenset[int] = frozenset()
    is_counted: bool = True


class State(NamedTuple):
    """Everything.

    ``elected`` holds (term, leader) ever elected, ``committed`` the longest confirmed log and
    ``committed_term`` the term of the leader that confirmed it.
    """

    controllers: tuple[Controller, Controller, Controller]
    elected: frozenset[tuple[int, int]]
    committed: Log
    committed_term: int
    is_lost: bool
    crashes: int
    wipes: int


def controllers_protocol(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the protocol under *rules* as minicheck takes it."""
    start = State((Controller(),) * 3, frozenset(), (), 0, False, 0, 0)
    return Protocol(
        name="controllers",
        candidate=False,
        fields=State._fields,
        initial=start,
        transitions=lambda state: list(_steps(State(*state), rules, bounds)),
        invariants={
            "one_leader_a_term": _one_leader_a_term,
            "confirmed_stays": lambda fields: not fields["is_lost"],
        },
    )


def _one_leader_a_term(fields: dict[str, frozenset[tuple[int, int]]]) -> bool:
    terms = [term for term, _ in fields["elected"]]
    return len(terms) == len(set(terms))


def _steps(state: State, rules: Rules, bounds: Bounds) -> Iterator[tuple[str, State]]:
    for me in CONTROLLERS:
        yield from _own_steps(state, me, rules, bounds)
        for peer in CONTROLLERS:
            if peer != me:
                yield from _pair_steps(state, me, peer, rules)


def _own_steps(state: State, me: int, rules: Rules, bounds: Bounds) -> Iterator[tuple[str, State]]:
    controller = state.controllers[me]
    if controller.role != LEADER and controller.term < bounds.terms and controller.is_counted:
        standing = controller._replace(
            role=CANDIDATE, term=controller.term + 1, vote=me, votes=frozenset({me})
        )
        yield f"{me} stands", _with(state, me, standing)
    if controller.role == CANDIDATE and len(controller.votes) >= 2:
        leading = _with(state, me, controller._replace(role=LEADER, votes=frozenset()))
        is_later = controller.term > state.committed_term
        holds_all = controller.log[: len(state.committed)] == state.committed
        is_lost = state.is_lost or (is_later and not holds_all)
        elected = state.elected | {(controller.term, me)}
        yield f"{me} leads", leading._replace(elected=elected, is_lost=is_lost)
    if controller.role == LEADER and len(controller.log) < bounds.entries:
        yield (
            f"{me} appends",
            _with(state, me, controller._replace(log=(*controller.log, controller.term))),
        )
    if controller.role == LEADER:
        yield from _commit(state, me, rules)
    if state.crashes < bounds.crashes:
        vote = controller.vote if rules.syncs_votes else NOBODY
        back = controller._replace(role=FOLLOWER, votes=frozenset(), vote=vote)
        yield f"{me} restarts", _with(state, me, back)._replace(crashes=state.crashes + 1)
    if state.wipes < bounds.wipes:
        wiped = Controller(is_counted=not rules.readmits_wiped)
        yield f"{me} is wiped", _with(state, me, wiped)._replace(wipes=state.wipes + 1)


def _commit(state: State, me: int, rules: Rules) -> Iterator[tuple[str, State]]:
    """Confirm the leader's longest prefix that a counted majority holds."""
    controller = state.controllers[me]
    for length in range(len(controller.log), len(state.committed), -1):
        prefix = controller.log[:length]
        holders = [n for n in state.controllers if n.is_counted and n.log[:length] == prefix]
        is_of_term = prefix[-1] == controller.term or not rules.commits_current_term
        followers = [n for n in holders if n.term == controller.term]
        if len(followers) >= 2 and is_of_term:
            after = state._replace(committed=prefix, committed_term=controller.term)
            yield f"{me} confirms {length}", after
            return


def _pair_steps(state: State, me: int, peer: int, rules: Rules) -> Iterator[tuple[str, State]]:
    controller, other = state.controllers[me], state.controllers[peer]
    if other.term < controller.term and other.role != FOLLOWER:
        left = other._replace(role=FOLLOWER, term=controller.term, vote=NOBODY, votes=frozenset())
        yield f"{peer} hears of term {controller.term}", _with(state, peer, left)
    if controller.role == CANDIDATE and peer not in controller.votes:
        yield from _vote(state, me, peer)
    if controller.role == LEADER and other.term <= controller.term and other.log != controller.log:
        # The prefix that both share and one entry more: one append.
        length = _shared(controller.log, other.log) + 1
        taken = controller.log[:length]
        following = other._replace(
            role=FOLLOWER,
            term=controller.term,
            vote=other.vote if other.term == controller.term else NOBODY,
            log=taken,
            votes=frozenset(),
        )
        yield f"{peer} follows {me}", _with(state, peer, following)
    is_news = other.term < controller.term or (
        other.term == controller.term and other.role == CANDIDATE
    )
    if controller.role == LEADER and is_news and other.log == controller.log:
        vote = other.vote if other.term == controller.term else NOBODY
        following = other._replace(
            role=FOLLOWER, term=controller.term, vote=vote, votes=frozenset()
        )
        yield f"{peer} follows {me}", _with(state, peer, following)
    if controller.role == LEADER and not other.is_counted:
        yield from _readmit(state, me, peer, rules)


def _vote(state: State, me: int, peer: int) -> Iterator[tuple[str, State]]:
    controller, other = state.controllers[me], state.controllers[peer]
    if not other.is_counted or other.term > controller.term:
        return
    vote = other.vote if other.term == controller.term else NOBODY
    is_recent = (controller.log[-1:], len(controller.log)) >= (other.log[-1:], len(other.log))
    if vote not in (NOBODY, me) or not is_recent:
        return
    role = FOLLOWER if other.term < controller.term else other.role
    if role != FOLLOWER:
        return
    voted = other._replace(role=role, term=controller.term, vote=me, votes=frozenset())
    after = _with(state, peer, voted)
    yield (
        f"{peer} votes for {me}",
        _with(after, me, controller._replace(votes=controller.votes | {peer})),
    )


def _readmit(state: State, me: int, peer: int, rules: Rules) -> Iterator[tuple[str, State]]:
    """Count a wiped controller again: the third one follows this term, and it holds all."""
    controller, other = state.controllers[me], state.controllers[peer]
    third = state.controllers[3 - me - peer]
    if (
        third.term != controller.term
        or other.term != controller.term
        or other.log != controller.log
    ):
        return
    if not controller.is_counted or not third.is_counted:
        return
    if third.role != FOLLOWER and rules.others_follow_first:
        return
    yield f"{peer} is taken in by {me}", _with(state, peer, other._replace(is_counted=True))


def _shared(one: Log, other: Log) -> int:
    length = 0
    while length < min(len(one), len(other)) and one[length] == other[length]:
        length += 1
    return length


def _with(state: State, number: int, controller: Controller) -> State:
    controllers = list(state.controllers)
    controllers[number] = controller
    return state._replace(controllers=(controllers[0], controllers[1], controllers[2]))
