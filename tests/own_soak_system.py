# SPDX-License-Identifier: MIT
"""Runs boxes with the daemon's own interface and recording endpoints behind a fault proxy."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import msgspec

from cluster import START_UP_MAX_S, Cluster, http, wait_until
from own_soak_records import Start
from proxy import FaultProxy, Link

# Maximum deadline, and how long a submission is remembered after it. Short, since boxes that all
# restarted vote again only after the sum of both.
DEADLINE_MAX_MS = 2_000
WINDOW_MS = 12_000
RETENTION_S = (DEADLINE_MAX_MS + WINDOW_MS) / 1_000
# Slots per endpoint; few, so that jobs are queued and refused.
_SLOTS = 2
# Endpoints of this zone have no proxy, which would accept connections to a dead endpoint.
_DIRECT_ZONE = "c"
# Sender name of the links from boxes to endpoints.
_ANY_BOX = "*"
_PROGRAM = Path(__file__).with_name("own_soak_endpoint.py")
_OVERRIDES = {"timings": {"deadline_max_ms": DEADLINE_MAX_MS, "resubmission_window_ms": WINDOW_MS}}


class SoakSystem(Cluster):
    """The system under test in one soak.

    Args:
        folder: Folder for settings, logs, data and endpoint records.
        boxes_per_zone: Entry boxes in each of three zones.
    """

    def __init__(self, folder: Path, boxes_per_zone: int) -> None:
        self.proxy = FaultProxy()
        super().__init__(
            folder,
            boxes_per_zone=boxes_per_zone,
            overrides=_OVERRIDES,
            address_of=self.proxy.address_of,
        )
        self.locks = {name: asyncio.Lock() for name in [*self.boxes, *self.zones]}

    @property
    def box_links(self) -> dict[tuple[str, str], Link]:
        """The links between boxes."""
        return {key: link for key, link in self.proxy.links.items() if key[0] != _ANY_BOX}

    @property
    def endpoint_links(self) -> dict[tuple[str, str], Link]:
        """The links from boxes to endpoints."""
        return {key: link for key, link in self.proxy.links.items() if key[0] == _ANY_BOX}

    def start(self) -> None:
        """Start everything; kill all processes if that fails."""
        try:
            super().start()
        except BaseException:
            self.end()
            raise

    def end(self) -> None:
        """Kill every process and close the proxy."""
        super().end()
        self.proxy.close()

    def first_intents(self) -> list[dict[str, Any]]:
        """Return the usual intents with fewer slots and with proxied endpoint addresses."""
        intents = super().first_intents()
        for intent in intents:
            if intent["kind"] != "worker":
                continue
            intent["slots"] = _SLOTS
            if intent["zone"] != _DIRECT_ZONE:
                port = int(intent["endpoint"].rpartition(":")[2])
                port_used = self.proxy.address_of(_ANY_BOX, intent["name"], port)
                intent["endpoint"] = f"http://127.0.0.1:{port_used}"
        return intents

    def start_endpoints(self) -> None:
        """Start one process of endpoint stand-ins per zone."""
        for zone in self.zones:
            self.start_endpoints_of(zone)

    def start_endpoints_of(self, zone: str) -> None:
        """Start the endpoint stand-ins of *zone* and wait until they answer."""
        ports = [spec.port for spec in self.endpoints if spec.zone == zone]
        command = [sys.executable, str(_PROGRAM), "--ports", ",".join(map(str, ports))]
        command += ["--slots", str(_SLOTS), "--record", str(self._record_path(zone))]
        self._start(f"workers-{zone}", command)
        for port in ports:
            url = f"http://127.0.0.1:{port}/v1/usage"
            wait_until(
                lambda url=url: http("GET", url).status == 200, f"worker of {zone}", START_UP_MAX_S
            )

    def starts_in_order(self) -> list[Start]:
        """Return all recorded starts in order of time, including those before a restart."""
        lines = [
            line
            for zone in self.zones
            if self._record_path(zone).exists()
            for line in self._record_path(zone).read_bytes().splitlines()
        ]
        starts = [msgspec.json.decode(line, type=Start) for line in lines]
        return sorted(starts, key=lambda start: start.at_s)

    def restore(self) -> None:
        """Clear all link faults and restart every process that has ended."""
        self.proxy.heal()
        for link in self.proxy.links.values():
            link.delay_s = 0.0
            link.reply_bytes_max = 0
        for box in self.boxes:
            if self.processes[box].poll() is not None:
                self.start_box(box)
        for zone in self.zones:
            if self.processes[f"workers-{zone}"].poll() is not None:
                self.start_endpoints_of(zone)

    def _record_path(self, zone: str) -> Path:
        return self.folder / f"starts-{zone}.jsonl"
