# SPDX-License-Identifier: MIT
"""Invalid heartbeats from a foreign client, sent during a soak; none may be accepted."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from cluster import free_port
from platform_system import PlatformSystem
from standins.run_endpoint import CAPACITY, SERVICE

# A controller without its first configuration accepts any heartbeat.
_INITIAL_DELAY_S = 1.0
# Range of the interval between heartbeats.
_INTERVAL_S = (0.05, 0.4)
_TIMEOUT = ClientTimeout(total=1.0)
# Above the ``call_seq`` of every real endpoint.
_CALL_SEQ_BASE = 10**6
_REQUIRED_FIELDS = ["service", "address", "zone", "state", "capacity", "call_seq"]
_INVALID_VALUES: list[Any] = [None, True, -1, 1.5, [], {}, "?"]


class ForeignReports:
    """Sends invalid reports to the path of endpoint heartbeats.

    Args:
        system: The system under test.
        rng: Random generator for the reports.
    """

    def __init__(self, system: PlatformSystem, rng: random.Random) -> None:
        self.sent = 0
        self.accepted: list[str] = []
        self.connections = 0
        self._system = system
        self._rng = rng
        self._address = ("127.0.0.1", free_port())

    async def run(self, is_over: asyncio.Event) -> None:
        """Send reports until *is_over*; count connections to the address in them."""
        server = await asyncio.start_server(self._count_connection, *self._address)
        await asyncio.sleep(_INITIAL_DELAY_S)
        async with server, ClientSession(timeout=_TIMEOUT) as session:
            while not is_over.is_set():
                await self._send(session)
                await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))

    async def _send(self, session: ClientSession) -> None:
        endpoint, body = self._draw_endpoint_id(), self._draw_body()
        url = f"http://{self._rng.choice(self._system.control_addresses)}/foldloom/instances/{endpoint}"
        try:
            async with session.put(url, data=body) as response:
                self.sent += 1
                if response.status == 200:
                    self.accepted.append(f"{endpoint}: {body!r}")
        except (ClientError, TimeoutError):
            # The controller is down; no retry.
            return

    def _draw_endpoint_id(self) -> str:
        """Return the id of a real endpoint or an unknown one."""
        names = [one.name for one in self._system.endpoints]
        return self._rng.choice([*names, f"x{self._rng.randrange(10)}"])

    def _draw_body(self) -> bytes:
        host, port = self._address
        report: dict[str, Any] = {
            "service": SERVICE,
            "address": f"{host}:{port}",
            "zone": self._rng.choice(sorted({one.zone for one in self._system.endpoints})),
            "state": self._rng.choice(["ready", "draining"]),
            "capacity": CAPACITY,
            "call_seq": _CALL_SEQ_BASE + self.sent,
        }
        kind = self._rng.choice(["missing", "wrong", "state", "service", "unreadable"])
        field = self._rng.choice(_REQUIRED_FIELDS)
        if kind == "missing":
            del report[field]
        if kind == "wrong":
            report[field] = self._draw_invalid_value(field)
        if kind == "state":
            report["state"] = "resting"
        if kind == "service":
            report["service"] = "nobody-named-it"
        body = msgspec.json.encode(report)
        return body[: self._rng.randrange(len(body))] if kind == "unreadable" else body

    def _draw_invalid_value(self, field: str) -> Any:
        """Return a value that is invalid for *field*."""
        invalid_values = _INVALID_VALUES
        if field == "zone":
            # Any string is a valid zone name.
            invalid_values = [value for value in _INVALID_VALUES if not isinstance(value, str)]
        return self._rng.choice(invalid_values)

    def _count_connection(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        writer.close()
