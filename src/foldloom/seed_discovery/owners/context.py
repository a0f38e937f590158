# SPDX-License-Identifier: MIT
"""Components of a box that are shared by all its terms of owning a zone."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.endpoints.calls import EndpointCalls
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.settings import TimingSettings


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
    """

    view: FleetView
    network: PeerNetwork
    calls: EndpointCalls
    catalog: EndpointCatalog
    timings: TimingSettings
    metrics: Metrics
    published_version: Callable[[], int]
    catalog_age_ms: Callable[[], float]
