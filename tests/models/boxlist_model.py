# SPDX-License-Identifier: MIT
"""A small specification of a change of the box list, for exhaustive checking.

One submission, two coordinators, five boxes: the old list's replicas are 0, 1, 2, the new
list's 0, 3, 4. Epoch 0 is the old list, 1 is joint, 2 is the new list. Every box and every
coordinator learns of an epoch at a moment of its own.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

OLD, JOINT, NEW = range(3)
OLD_SET = frozenset({0, 1, 2})
NEW_SET = frozenset({0, 3, 4})
BOXES = range(5)
NOBODY = -1


class Rules(NamedTuple):
    """Which rules hold; each may be left out to see what breaks."""

    joint_needs_both: bool = True
    new_waits_for_acks: bool = True
    new_waits_for_window: bool = True
    replicas_refuse_other_epochs: bool = True


class Asker(NamedTuple):
    """A coordinator: the epoch it knows, the one it asked under, its votes."""

    epoch: int = OLD
    asked: int = NOBODY
    votes: frozenset[int] = frozenset()
    is_started: bool = False


class State(NamedTuple):
    """Everything: the confirmed epoch, each box's epoch and claim, the coordinators."""

    epoch: int
    box_epochs: tuple[int, ...]
    claims: tuple[int, ...]
    askers: tuple[Asker, Asker]


def boxlist_protocol(rules: Rules) -> Protocol:
    """Return the protocol under *rules* as minicheck takes it."""
    start = State(OLD, (OLD,) * 5, (NOBODY,) * 5, (Asker(), Asker()))
    return Protocol(
        name="box list",
        candidate=False,
        fields=State._fields,
        initial=start,
        transitions=lambda state: list(_steps(State(*state), rules)),
        invariants={
            "one_starter": lambda fields: sum(one.is_started for one in fields["askers"]) <= 1
        },
    )


def _steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if _may_advance(state, rules):
        yield f"epoch {state.epoch + 1} is confirmed", state._replace(epoch=state.epoch + 1)
    for box in BOXES:
        if state.box_epochs[box] < state.epoch:
            epochs = _with(state.box_epochs, box, state.box_epochs[box] + 1)
            yield f"box {box} learns", state._replace(box_epochs=epochs)
    for who in (0, 1):
        yield from _asker_steps(state, who, rules)


def _may_advance(state: State, rules: Rules) -> bool:
    if state.epoch == OLD:
        return True
    if state.epoch == NEW:
        return False
    acked = all(state.box_epochs[box] >= JOINT for box in OLD_SET)
    return acked or not rules.new_waits_for_acks


def _asker_steps(state: State, who: int, rules: Rules) -> Iterator[tuple[str, State]]:
    me = state.askers[who]
    if me.epoch < state.epoch:
        yield f"c{who} learns", _with_asker(state, who, me._replace(epoch=me.epoch + 1))
    if me.asked == NOBODY and not _is_past_window(state, me.epoch, rules):
        yield f"c{who} asks", _with_asker(state, who, me._replace(asked=me.epoch))
    if me.asked == NOBODY or me.is_started:
        return
    for box in _replicas(me.asked) - me.votes:
        is_other = state.box_epochs[box] != me.asked
        if state.claims[box] not in (NOBODY, who):
            continue
        if is_other and rules.replicas_refuse_other_epochs:
            continue
        after = state._replace(claims=_with(state.claims, box, who))
        voted = me._replace(votes=me.votes | {box})
        yield f"box {box} votes for c{who}", _with_asker(after, who, voted)
    if _is_won(me, rules) and not _is_past_deadline(state, me, rules):
        yield f"c{who} starts", _with_asker(state, who, me._replace(is_started=True))


def _is_past_window(state: State, epoch: int, rules: Rules) -> bool:
    """A window lies between joint and new: under new nobody resubmits what old started."""
    if not rules.new_waits_for_window or epoch != NEW:
        return False
    return any(one.is_started and one.asked == OLD for one in state.askers)


def _is_past_deadline(state: State, me: Asker, rules: Rules) -> bool:
    """By the same window, a job asked for under old is past its deadline under new."""
    return rules.new_waits_for_window and me.asked == OLD and state.epoch == NEW


def _replicas(epoch: int) -> frozenset[int]:
    return (OLD_SET, OLD_SET | NEW_SET, NEW_SET)[epoch]


def _is_won(me: Asker, rules: Rules) -> bool:
    old = len(me.votes & OLD_SET) >= 2
    new = len(me.votes & NEW_SET) >= 2
    if me.asked == JOINT:
        return (old and new) if rules.joint_needs_both else new
    return old if me.asked == OLD else new


def _with(values: tuple[int, ...], place: int, value: int) -> tuple[int, ...]:
    return (*values[:place], value, *values[place + 1 :])


def _with_asker(state: State, who: int, asker: Asker) -> State:
    askers = (asker, state.askers[1]) if who == 0 else (state.askers[0], asker)
    return state._replace(askers=askers)
