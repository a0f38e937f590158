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

NODES = (0, 1, 2)
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


class Node(NamedTuple):
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

    nodes: tuple[Node, Node, Node]
    elected: frozenset[tuple[int, int]]
    committed: Log
    committed_term: int
    is_lost: bool
    crashes: int
    wipes: int


def controllers_protocol(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the protocol under *rules* as minicheck takes it."""
    start = State((Node(),) * 3, frozenset(), (), 0, False, 0, 0)
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
    for me in NODES:
        yield from _own_steps(state, me, rules, bounds)
        for peer in NODES:
            if peer != me:
                yield from _pair_steps(state, me, peer, rules)


def _own_steps(state: State, me: int, rules: Rules, bounds: Bounds) -> Iterator[tuple[str, State]]:
    node = state.nodes[me]
    if node.role != LEADER and node.term < bounds.terms and node.is_counted:
        standing = node._replace(role=CANDIDATE, term=node.term + 1, vote=me, votes=frozenset({me}))
        yield f"{me} stands", _with(state, me, standing)
    if node.role == CANDIDATE and len(node.votes) >= 2:
        leading = _with(state, me, node._replace(role=LEADER, votes=frozenset()))
        is_later = node.term > state.committed_term
        holds_all = node.log[: len(state.committed)] == state.committed
        is_lost = state.is_lost or (is_later and not holds_all)
        elected = state.elected | {(node.term, me)}
        yield f"{me} leads", leading._replace(elected=elected, is_lost=is_lost)
    if node.role == LEADER and len(node.log) < bounds.entries:
        yield f"{me} appends", _with(state, me, node._replace(log=(*node.log, node.term)))
    if node.role == LEADER:
        yield from _commit(state, me, rules)
    if state.crashes < bounds.crashes:
        vote = node.vote if rules.syncs_votes else NOBODY
        back = node._replace(role=FOLLOWER, votes=frozenset(), vote=vote)
        yield f"{me} restarts", _with(state, me, back)._replace(crashes=state.crashes + 1)
    if state.wipes < bounds.wipes:
        wiped = Node(is_counted=not rules.readmits_wiped)
        yield f"{me} is wiped", _with(state, me, wiped)._replace(wipes=state.wipes + 1)


def _commit(state: State, me: int, rules: Rules) -> Iterator[tuple[str, State]]:
    """Confirm the leader's longest prefix that a counted majority holds."""
    node = state.nodes[me]
    for length in range(len(node.log), len(state.committed), -1):
        prefix = node.log[:length]
        holders = [n for n in state.nodes if n.is_counted and n.log[:length] == prefix]
        is_of_term = prefix[-1] == node.term or not rules.commits_current_term
        followers = [n for n in holders if n.term == node.term]
        if len(followers) >= 2 and is_of_term:
            after = state._replace(committed=prefix, committed_term=node.term)
            yield f"{me} confirms {length}", after
            return


def _pair_steps(state: State, me: int, peer: int, rules: Rules) -> Iterator[tuple[str, State]]:
    node, other = state.nodes[me], state.nodes[peer]
    if other.term < node.term and other.role != FOLLOWER:
        left = other._replace(role=FOLLOWER, term=node.term, vote=NOBODY, votes=frozenset())
        yield f"{peer} hears of term {node.term}", _with(state, peer, left)
    if node.role == CANDIDATE and peer not in node.votes:
        yield from _vote(state, me, peer)
    if node.role == LEADER and other.term <= node.term and other.log != node.log:
        # The prefix that both share and one entry more: one append.
        length = _shared(node.log, other.log) + 1
        taken = node.log[:length]
        following = other._replace(
            role=FOLLOWER,
            term=node.term,
            vote=other.vote if other.term == node.term else NOBODY,
            log=taken,
            votes=frozenset(),
        )
        yield f"{peer} follows {me}", _with(state, peer, following)
    is_news = other.term < node.term or (other.term == node.term and other.role == CANDIDATE)
    if node.role == LEADER and is_news and other.log == node.log:
        vote = other.vote if other.term == node.term else NOBODY
        following = other._replace(role=FOLLOWER, term=node.term, vote=vote, votes=frozenset())
        yield f"{peer} follows {me}", _with(state, peer, following)
    if node.role == LEADER and not other.is_counted:
        yield from _readmit(state, me, peer, rules)


def _vote(state: State, me: int, peer: int) -> Iterator[tuple[str, State]]:
    node, other = state.nodes[me], state.nodes[peer]
    if not other.is_counted or other.term > node.term:
        return
    vote = other.vote if other.term == node.term else NOBODY
    is_recent = (node.log[-1:], len(node.log)) >= (other.log[-1:], len(other.log))
    if vote not in (NOBODY, me) or not is_recent:
        return
    role = FOLLOWER if other.term < node.term else other.role
    if role != FOLLOWER:
        return
    voted = other._replace(role=role, term=node.term, vote=me, votes=frozenset())
    after = _with(state, peer, voted)
    yield f"{peer} votes for {me}", _with(after, me, node._replace(votes=node.votes | {peer}))


def _readmit(state: State, me: int, peer: int, rules: Rules) -> Iterator[tuple[str, State]]:
    """Count a wiped controller again: the third one follows this term, and it holds all."""
    node, other = state.nodes[me], state.nodes[peer]
    third = state.nodes[3 - me - peer]
    if third.term != node.term or other.term != node.term or other.log != node.log:
        return
    if not node.is_counted or not third.is_counted:
        return
    if third.role != FOLLOWER and rules.others_follow_first:
        return
    yield f"{peer} is taken in by {me}", _with(state, peer, other._replace(is_counted=True))


def _shared(one: Log, other: Log) -> int:
    length = 0
    while length < min(len(one), len(other)) and one[length] == other[length]:
        length += 1
    return length


def _with(state: State, number: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=(nodes[0], nodes[1], nodes[2]))
