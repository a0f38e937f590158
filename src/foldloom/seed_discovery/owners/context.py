# SPDX-License-Identifier: MIT
"""What a box gives to each of its terms of owning a zone.

Owns nothing: what stays the same from one term of owning to the next.
"""

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
    """Parts of the box that an owner relies on.

    Args:
        view: The other boxes.
        network: The peers.
        calls: How endpoints are called.
        catalog: The endpoints.
        timings: Intervals and bounds.
        metrics: Counters.
        published_version: Returns the published version in force here.
        catalog_age_ms: Returns for how long the catalog has been kept up.
    """

    view: FleetView
    network: PeerNetwork
    calls: EndpointCalls
    catalog: EndpointCatalog
    timings: TimingSettings
    metrics: Metrics
    published_version: Callable[[], int]
    catalog_age_ms: Callable[[], float]
