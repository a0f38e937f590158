# SPDX-License-Identifier: MIT
"""Model of a box list change, for exhaustive checking.

One submission, two coordinators, five boxes. Claim replicas are boxes 0, 1, 2 in the old list and
0, 3, 4 in the new one. Epoch 0 is the old list, 1 the joint list, 2 the new list. Boxes and
coordinators advance to the next epoch independently.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

OLD, JOINT, NEW = range(3)
OLD_SET = frozenset({0, 1, 2})
NEW_SET = frozenset({0, 3, 4})
BOXES = range(5)
UNSET = -1


class Rules(NamedTuple):
    """Protocol rules; each can be disabled to check that it is needed."""

    joint_needs_both: bool = True
    new_waits_for_acks: bool = True
    new_waits_for_window: bool = True
    replicas_refuse_other_epochs: bool = True


class Coordinator(NamedTuple):
    """A coordinator: its current epoch, the epoch of its claim, and the votes received."""

    epoch: int = OLD
    claim_epoch: int = UNSET
    votes: frozenset[int] = frozenset()
    is_started: bool = False


class State(NamedTuple):
    """Confirmed epoch, epoch and claim of each box, and the coordinators."""

    epoch: int
    box_epochs: tuple[int, ...]
    claims: tuple[int, ...]
    askers: tuple[Coordinator, Coordinator]


def boxlist_protocol(rules: Rules) -> Protocol:
    """Return the minicheck protocol for *rules*."""
    initial_state = State(OLD, (OLD,) * 5, (UNSET,) * 5, (Coordinator(), Coordinator()))
    return Protocol(
        name="box list",
        candidate=False,
        fields=State._fields,
        initial=initial_state,
        transitions=lambda state: list(_steps(State(*state), rules)),
        invariants={
            "one_starter": lambda fields: (
                sum(coordinator.is_started for coordinator in fields["askers"]) <= 1
            )
        },
    )


def _steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if _may_advance(state, rules):
        yield f"epoch {state.epoch + 1} is confirmed", state._replace(epoch=state.epoch + 1)
    for box in BOXES:
        if state.box_epochs[box] < state.epoch:
            epochs = _with_item(state.box_epochs, box, state.box_epochs[box] + 1)
            yield f"box {box} advances", state._replace(box_epochs=epochs)
    for coordinator_id in (0, 1):
        yield from _coordinator_steps(state, coordinator_id, rules)


def _may_advance(state: State, rules: Rules) -> bool:
    if state.epoch == OLD:
        return True
    if state.epoch == NEW:
        return False
    acked = all(state.box_epochs[box] >= JOINT for box in OLD_SET)
    return acked or not rules.new_waits_for_acks


def _coordinator_steps(
    state: State, coordinator_id: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    coordinator = state.askers[coordinator_id]
    if coordinator.epoch < state.epoch:
        yield (
            f"c{coordinator_id} advances",
            _with_coordinator(
                state, coordinator_id, coordinator._replace(epoch=coordinator.epoch + 1)
            ),
        )
    if coordinator.claim_epoch == UNSET and not _is_window_over(state, coordinator.epoch, rules):
        yield (
            f"c{coordinator_id} claims",
            _with_coordinator(
                state, coordinator_id, coordinator._replace(claim_epoch=coordinator.epoch)
            ),
        )
    if coordinator.claim_epoch == UNSET or coordinator.is_started:
        return
    for box in _replicas(coordinator.claim_epoch) - coordinator.votes:
        is_other_epoch = state.box_epochs[box] != coordinator.claim_epoch
        if state.claims[box] not in (UNSET, coordinator_id):
            continue
        if is_other_epoch and rules.replicas_refuse_other_epochs:
            continue
        claimed = state._replace(claims=_with_item(state.claims, box, coordinator_id))
        voted = coordinator._replace(votes=coordinator.votes | {box})
        yield (
            f"box {box} votes for c{coordinator_id}",
            _with_coordinator(claimed, coordinator_id, voted),
        )
    if _is_won(coordinator, rules) and not _is_past_deadline(state, coordinator, rules):
        yield (
            f"c{coordinator_id} starts",
            _with_coordinator(state, coordinator_id, coordinator._replace(is_started=True)),
        )


def _is_window_over(state: State, epoch: int, rules: Rules) -> bool:
    """Return whether a job started in the old epoch can no longer be resubmitted in *epoch*."""
    if not rules.new_waits_for_window or epoch != NEW:
        return False
    return any(
        coordinator.is_started and coordinator.claim_epoch == OLD for coordinator in state.askers
    )


def _is_past_deadline(state: State, coordinator: Coordinator, rules: Rules) -> bool:
    """Return whether a job claimed in the old epoch has reached its deadline by the new one."""
    return rules.new_waits_for_window and coordinator.claim_epoch == OLD and state.epoch == NEW


def _replicas(epoch: int) -> frozenset[int]:
    return (OLD_SET, OLD_SET | NEW_SET, NEW_SET)[epoch]


def _is_won(coordinator: Coordinator, rules: Rules) -> bool:
    has_old_quorum = len(coordinator.votes & OLD_SET) >= 2
    has_new_quorum = len(coordinator.votes & NEW_SET) >= 2
    if coordinator.claim_epoch == JOINT:
        return (has_old_quorum and has_new_quorum) if rules.joint_needs_both else has_new_quorum
    return has_old_quorum if coordinator.claim_epoch == OLD else has_new_quorum


def _with_item(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_coordinator(state: State, coordinator_id: int, coordinator: Coordinator) -> State:
    askers = (
        (coordinator, state.askers[1]) if coordinator_id == 0 else (state.askers[0], coordinator)
    )
    return state._replace(askers=askers)
