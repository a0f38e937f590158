# SPDX-License-Identifier: MIT
"""Model of the controllers' replicated log, for exhaustive checking.

Three controllers with bounded terms, log entries, crashes and wiped disks. A crash loses unsynced
votes. A message is a transition of two controllers that can happen late or never, which covers
partitions; a vote that the candidate has received stays counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

CONTROLLERS = (0, 1, 2)
NO_VOTE = -1
FOLLOWER, CANDIDATE, LEADER = range(3)

Log = tuple[int, ...]


class Rules(NamedTuple):
    """Protocol rules; each can be disabled to check that it is needed."""

    syncs_votes: bool = True
    readmits_wiped: bool = True
    commits_current_term: bool = True
    others_follow_first: bool = True


class Bounds(NamedTuple):
    """Limits of the search."""

    terms: int
    entries: int
    crashes: int
    wipes: int


class Controller(NamedTuple):
    """A controller. A log entry is the term that created it; ``is_voter`` is false after a wipe."""

    role: int = FOLLOWER
    term: int = 0
    vote: int = NO_VOTE
    log: Log = ()
    votes: frozenset[int] = frozenset()
    is_voter: bool = True


class State(NamedTuple):
    """Controllers and the history of elections and commits.

    ``elected`` holds every (term, leader), ``committed`` the longest committed log and
    ``committed_term`` the term of the leader that committed it. ``is_lost`` is set once a later
    leader lacks a committed entry.
    """

    controllers: tuple[Controller, Controller, Controller]
    elected: frozenset[tuple[int, int]]
    committed: Log
    committed_term: int
    is_lost: bool
    crashes: int
    wipes: int


def controllers_protocol(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the minicheck protocol for *rules*."""
    initial_state = State((Controller(),) * 3, frozenset(), (), 0, False, 0, 0)
    return Protocol(
        name="controllers",
        candidate=False,
        fields=State._fields,
        initial=initial_state,
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
    for controller_id in CONTROLLERS:
        yield from _local_steps(state, controller_id, rules, bounds)
        for peer_id in CONTROLLERS:
            if peer_id != controller_id:
                yield from _message_steps(state, controller_id, peer_id, rules)


def _local_steps(
    state: State, controller_id: int, rules: Rules, bounds: Bounds
) -> Iterator[tuple[str, State]]:
    controller = state.controllers[controller_id]
    if controller.role != LEADER and controller.term < bounds.terms and controller.is_voter:
        candidate = controller._replace(
            role=CANDIDATE,
            term=controller.term + 1,
            vote=controller_id,
            votes=frozenset({controller_id}),
        )
        yield (
            f"{controller_id} becomes candidate",
            _with_controller(state, controller_id, candidate),
        )
    if controller.role == CANDIDATE and len(controller.votes) >= 2:
        with_leader = _with_controller(
            state, controller_id, controller._replace(role=LEADER, votes=frozenset())
        )
        is_later = controller.term > state.committed_term
        has_committed = controller.log[: len(state.committed)] == state.committed
        is_lost = state.is_lost or (is_later and not has_committed)
        elected = state.elected | {(controller.term, controller_id)}
        yield (
            f"{controller_id} becomes leader",
            with_leader._replace(elected=elected, is_lost=is_lost),
        )
    if controller.role == LEADER and len(controller.log) < bounds.entries:
        yield (
            f"{controller_id} appends",
            _with_controller(
                state, controller_id, controller._replace(log=(*controller.log, controller.term))
            ),
        )
    if controller.role == LEADER:
        yield from _commit(state, controller_id, rules)
    if state.crashes < bounds.crashes:
        vote = controller.vote if rules.syncs_votes else NO_VOTE
        restarted = controller._replace(role=FOLLOWER, votes=frozenset(), vote=vote)
        yield (
            f"{controller_id} restarts",
            _with_controller(state, controller_id, restarted)._replace(crashes=state.crashes + 1),
        )
    if state.wipes < bounds.wipes:
        wiped = Controller(is_voter=not rules.readmits_wiped)
        yield (
            f"{controller_id} is wiped",
            _with_controller(state, controller_id, wiped)._replace(wipes=state.wipes + 1),
        )


def _commit(state: State, controller_id: int, rules: Rules) -> Iterator[tuple[str, State]]:
    """Commit the leader's longest log prefix that is replicated on a quorum of voters."""
    controller = state.controllers[controller_id]
    for length in range(len(controller.log), len(state.committed), -1):
        prefix = controller.log[:length]
        holders = [
            holder
            for holder in state.controllers
            if holder.is_voter and holder.log[:length] == prefix
        ]
        is_current_term = prefix[-1] == controller.term or not rules.commits_current_term
        in_term = [holder for holder in holders if holder.term == controller.term]
        if len(in_term) >= 2 and is_current_term:
            next_state = state._replace(committed=prefix, committed_term=controller.term)
            yield f"{controller_id} commits {length} entries", next_state
            return


def _message_steps(
    state: State, controller_id: int, peer_id: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    controller, peer = state.controllers[controller_id], state.controllers[peer_id]
    if peer.term < controller.term and peer.role != FOLLOWER:
        stepped_down = peer._replace(
            role=FOLLOWER, term=controller.term, vote=NO_VOTE, votes=frozenset()
        )
        yield (
            f"{peer_id} observes term {controller.term}",
            _with_controller(state, peer_id, stepped_down),
        )
    if controller.role == CANDIDATE and peer_id not in controller.votes:
        yield from _vote(state, controller_id, peer_id)
    if controller.role == LEADER and peer.term <= controller.term and peer.log != controller.log:
        # An append carries the common prefix and the next entry.
        length = _common_prefix_length(controller.log, peer.log) + 1
        appended = controller.log[:length]
        follower = peer._replace(
            role=FOLLOWER,
            term=controller.term,
            vote=peer.vote if peer.term == controller.term else NO_VOTE,
            log=appended,
            votes=frozenset(),
        )
        yield f"{peer_id} follows {controller_id}", _with_controller(state, peer_id, follower)
    is_outdated = peer.term < controller.term or (
        peer.term == controller.term and peer.role == CANDIDATE
    )
    if controller.role == LEADER and is_outdated and peer.log == controller.log:
        vote = peer.vote if peer.term == controller.term else NO_VOTE
        follower = peer._replace(role=FOLLOWER, term=controller.term, vote=vote, votes=frozenset())
        yield f"{peer_id} follows {controller_id}", _with_controller(state, peer_id, follower)
    if controller.role == LEADER and not peer.is_voter:
        yield from _readmit(state, controller_id, peer_id, rules)


def _vote(state: State, controller_id: int, peer_id: int) -> Iterator[tuple[str, State]]:
    controller, peer = state.controllers[controller_id], state.controllers[peer_id]
    if not peer.is_voter or peer.term > controller.term:
        return
    vote = peer.vote if peer.term == controller.term else NO_VOTE
    is_up_to_date = (controller.log[-1:], len(controller.log)) >= (peer.log[-1:], len(peer.log))
    if vote not in (NO_VOTE, controller_id) or not is_up_to_date:
        return
    role = FOLLOWER if peer.term < controller.term else peer.role
    if role != FOLLOWER:
        return
    voted = peer._replace(role=role, term=controller.term, vote=controller_id, votes=frozenset())
    next_state = _with_controller(state, peer_id, voted)
    yield (
        f"{peer_id} votes for {controller_id}",
        _with_controller(
            next_state, controller_id, controller._replace(votes=controller.votes | {peer_id})
        ),
    )


def _readmit(
    state: State, controller_id: int, peer_id: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    """Readmit a wiped controller as a voter once it and the third controller follow this term."""
    controller, peer = state.controllers[controller_id], state.controllers[peer_id]
    third = state.controllers[3 - controller_id - peer_id]
    if third.term != controller.term or peer.term != controller.term or peer.log != controller.log:
        return
    if not controller.is_voter or not third.is_voter:
        return
    if third.role != FOLLOWER and rules.others_follow_first:
        return
    yield (
        f"{peer_id} is readmitted by {controller_id}",
        _with_controller(state, peer_id, peer._replace(is_voter=True)),
    )


def _common_prefix_length(first: Log, second: Log) -> int:
    length = 0
    while length < min(len(first), len(second)) and first[length] == second[length]:
        length += 1
    return length


def _with_controller(state: State, controller_id: int, controller: Controller) -> State:
    controllers = list(state.controllers)
    controllers[controller_id] = controller
    return state._replace(controllers=(controllers[0], controllers[1], controllers[2]))
