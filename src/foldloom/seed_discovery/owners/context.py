# SPDX-License-Identifier: MIT
"""Components of a box that are shared by all its terms of owning a zone."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.endpoints.calls import EndpointCalls
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.owners.holder_confirmations import NEVER_MS
from foldloom.seed_discovery.owners.messages import EndpointBinding
from foldloom.seed_discovery.scheduling.overload import OverloadControl
from foldloom.settings import TimingSettings


def _no_bindings(_zone: str, _token: int) -> Sequence[EndpointBinding]:
    return ()


def _never_confirmed(_zone: str) -> float:
    return NEVER_MS


class OwnerContext(NamedTuple):
    """Components of the box that an owner uses.

    Args:
        view: The other boxes.
        network: Connections to the other boxes.
        calls: Client for calls to endpoints.
        catalog: The endpoints of all zones.
        timings: Intervals and timeouts.
        metrics: Counters.
        published_version: Returns the published version in effect here.
        catalog_age_ms: Returns for how long the catalog has been maintained.
        bindings_from_others: Returns the bindings to endpoints of a zone that boxes and earlier
            owners, and not its owner with this token, have reported to this box.
        overload: The rejection of new jobs while this box is late.
        holders_confirmed_ms: Returns when all boxes that hold runs in a zone were last known to be
            alive, as heard from the zone's owners; minus infinity if not known.
    """

    view: FleetView
    network: PeerNetwork
    calls: EndpointCalls
    catalog: EndpointCatalog
    timings: TimingSettings
    metrics: Metrics
    published_version: Callable[[], int]
    catalog_age_ms: Callable[[], float]
    bindings_from_others: Callable[[str, int], Sequence[EndpointBinding]] = _no_bindings
    overload: OverloadControl | None = None
    holders_confirmed_ms: Callable[[str], float] = _never_confirmed
