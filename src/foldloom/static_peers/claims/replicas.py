# SPDX-License-Identifier: MIT
"""Claim replicas of a submission: rendezvous hashing over the box list."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from foldloom.controllers.config import BoxList
from foldloom.ids import zone_of

# Claim replicas per submission.
REPLICAS = 3


class ReplicaSets(NamedTuple):
    """The claim replicas of one submission.

    Args:
        epoch: Epoch of the box list.
        sets: One set, or the old and the new set during a joint change of the box list; a claim
            needs a majority of each.
    """

    epoch: int
    sets: tuple[tuple[str, ...], ...]

    @property
    def boxes(self) -> list[str]:
        """The distinct boxes of all sets."""
        return list(dict.fromkeys(box for boxes in self.sets for box in boxes))

    def is_majority(self, votes: set[str]) -> bool:
        """Return whether *votes* contain a majority of each set."""
        return all(len(votes.intersection(boxes)) > len(boxes) // 2 for boxes in self.sets)


def replica_sets(submission: str, boxes: BoxList) -> ReplicaSets:
    """Return the claim replicas of *submission* under the box list *boxes*."""
    current = claim_replicas(submission, boxes["current"])
    if boxes["next"] is None:
        return ReplicaSets(boxes["epoch"], (current,))
    return ReplicaSets(boxes["epoch"], (current, claim_replicas(submission, boxes["next"])))


def claim_replicas(submission: str, zone_by_box: dict[str, str]) -> tuple[str, ...]:
    """Return the claim replicas of *submission*.

    An id without a zone tag has one replica in each of three zones. An id tagged with a zone, or a
    system with a single zone, has three replicas in that zone. Fewer boxes or zones give fewer
    replicas.
    """
    zone = zone_of(submission)
    if zone:
        in_zone = [box for box, box_zone in zone_by_box.items() if box_zone == zone]
        return tuple(_ranked(submission, in_zone)[:REPLICAS])
    ranked = _ranked(submission, list(zone_by_box))
    first_of_zone: dict[str, str] = {}
    for box in ranked:
        first_of_zone.setdefault(zone_by_box[box], box)
    if len(first_of_zone) == 1:
        return tuple(ranked[:REPLICAS])
    return tuple(list(first_of_zone.values())[:REPLICAS])


def _ranked(submission: str, boxes: list[str]) -> list[str]:
    """Return *boxes* by descending hash of (submission, box)."""
    return sorted(boxes, key=lambda box: _weight(submission, box), reverse=True)


def _weight(submission: str, box: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{submission}|{box}".encode()), box
