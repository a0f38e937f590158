# SPDX-License-Identifier: MIT
"""Which boxes hold the claim of a submission: rendezvous hashing over the box list.

Owns nothing. Relies on the box list of the configuration in force.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from foldloom.controllers.config import BoxList
from foldloom.ids import zone_of

# Claim replicas of a submission: a majority of three outlives the loss of one.
REPLICAS = 3


class ReplicaSets(NamedTuple):
    """The claim replicas of one submission.

    Args:
        epoch: The box list's epoch.
        sets: One set, or two (old and new) while a change of the list is joint; a claim
            needs a majority of each.
    """

    epoch: int
    sets: tuple[tuple[str, ...], ...]

    @property
    def boxes(self) -> list[str]:
        """Every box of every set, each once."""
        return list(dict.fromkeys(box for boxes in self.sets for box in boxes))

    def is_majority(self, votes: set[str]) -> bool:
        """Return whether *votes* are more than half of each set."""
        return all(len(votes.intersection(boxes)) > len(boxes) // 2 for boxes in self.sets)


def replica_sets(submission: str, boxes: BoxList) -> ReplicaSets:
    """Return the claim replicas of *submission* under the box list *boxes*."""
    current = claim_replicas(submission, boxes["current"])
    if boxes["next"] is None:
        return ReplicaSets(boxes["epoch"], (current,))
    return ReplicaSets(boxes["epoch"], (current, claim_replicas(submission, boxes["next"])))


def claim_replicas(submission: str, zone_by_box: dict[str, str]) -> tuple[str, ...]:
    """Return the claim replicas of *submission*.

    A plain id has one in each of three zones; an id tagged with a zone, or a system of one
    zone, has three in that zone. A smaller list gives as many as it has.
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
    """Return *boxes* by falling hash of (submission, box)."""
    return sorted(boxes, key=lambda box: _weight(submission, box), reverse=True)


def _weight(submission: str, box: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{submission}|{box}".encode()), box
