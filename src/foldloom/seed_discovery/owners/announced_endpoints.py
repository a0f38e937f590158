# SPDX-License-Identifier: MIT
"""The endpoints that the owners of one zone have announced to an entry box.

An owner starts a box's runs only on endpoints that it has announced to that box, and the box
accepts announcements of its present owner only. So the box can tell the next owner of every
endpoint on which earlier owners may have started its runs, whatever is in that owner's catalog.
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.seed_discovery.owners.messages import EndpointList


class AnnouncedEndpoints:
    """The lists of endpoints that the owners of one zone have announced to this box.

    Args:
        has_earlier_runs: Returns whether an owner before the present one may have started a run
            that is still open.
    """

    def __init__(self, has_earlier_runs: Callable[[], bool]) -> None:
        self._has_earlier_runs = has_earlier_runs
        # None if the owner is of an earlier release, which does not announce endpoints.
        self._present: EndpointList | None = EndpointList()
        self._earlier: frozenset[str] | None = frozenset()
        self._earlier_end_ms = float("-inf")

    def begin_owner(self, announces: bool) -> None:
        """Begin the term of an owner that announces its endpoints, or does not."""
        self._present = EndpointList() if announces else None

    def end_owner(self, now_ms: float, runs_end_ms: float) -> None:
        """End the term of the present owner, whose runs have ended by *runs_end_ms*.

        It may have adopted runs of the owners before it.
        """
        earlier = self._of_earlier_owners(now_ms)
        if earlier is None or self._present is None:
            self._earlier = None
        else:
            self._earlier = earlier | frozenset(self._present.endpoints)
        self._earlier_end_ms = max(self._earlier_end_ms, runs_end_ms)

    def note(self, announced: EndpointList) -> None:
        """Record an announcement of the present owner, unless it is an outdated one."""
        if self._present is not None and announced.revision > self._present.revision:
            self._present = announced

    def of_earlier_owners(self, now_ms: float) -> tuple[str, ...] | None:
        """Return the endpoints on which earlier owners may have started runs that go on.

        ``None`` if they are not known.
        """
        earlier = self._of_earlier_owners(now_ms)
        return None if earlier is None else tuple(sorted(earlier))

    def _of_earlier_owners(self, now_ms: float) -> frozenset[str] | None:
        # Until the present owner has announced endpoints, it may have adopted runs on others.
        has_announced = self._present is not None and self._present.revision > 0
        if not has_announced or now_ms < self._earlier_end_ms:
            return self._earlier
        # It may have adopted a run where the announcement of a later list has not arrived.
        if self._earlier != frozenset() and not self._has_earlier_runs():
            self._earlier = frozenset()
        return self._earlier
