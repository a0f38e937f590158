# SPDX-License-Identifier: MIT
"""The platform's programs as processes, with a fault proxy on every connection.

The proxy listens at the advertised addresses; the programs and the endpoint stand-ins bind other
ports of the same hosts.
"""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

from aiohttp import ClientSession, ClientTimeout, TCPConnector

from cluster import free_port
from link_proxy import Address, Kind, LinkProxy
from platform_system import CALL_TIMEOUT_S, PlatformSystem
from standins.run_behind_proxy import BOUND_PEER
from standins.run_endpoint import RunEndpoint, Sightings

# Interval at which stalls of the proxy's event loop are measured.
_CHECK_INTERVAL_S = 0.01
_LAUNCHER = Path(__file__).resolve().parent / "standins" / "run_behind_proxy.py"


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


class ProxiedEndpoint(RunEndpoint):
    """An endpoint behind the proxy; its next incarnation binds the same port.

    Args:
        name: Endpoint id.
        host: Host to bind.
        port: Port to bind.
        zone: Zone of the endpoint.
        sightings: Shared record of starts.
        advertised_port: The proxy's port.
        born_ms: Identifies the incarnation under a shared id; 0 if each has its own id.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        zone: str,
        sightings: Sightings,
        advertised_port: int,
        born_ms: int = 0,
    ) -> None:
        super().__init__(name, host, port, zone, sightings, born_ms)
        self.bound = (host, port)
        self._advertised_port = advertised_port

    @property
    def address(self) -> str:
        """The advertised address, which is the proxy's."""
        return f"{self.bound[0]}:{self._advertised_port}"

    def next_life(self, name: str, born_ms: int = 0, port: int = 0) -> ProxiedEndpoint:
        """Return the next incarnation, not started, at the same address or another proxy port."""
        host, bound_port = self.bound
        return ProxiedEndpoint(
            name,
            host,
            free_port() if port else bound_port,
            self.zone,
            self._sightings,
            port or self._advertised_port,
            born_ms,
        )


class ProxiedSystem(PlatformSystem):
    """A system whose connections all pass a :class:`LinkProxy`.

    Args:
        folder: Folder for settings, logs and controller data.
        entries: Number of entry processes.
        endpoints: Number of endpoints.
        controllers: Number of controllers.
        zones: Zone names, one character each.
        rng: Random generator for the proxy's delays.
    """

    def __init__(
        self,
        folder: Path,
        entries: int,
        endpoints: int,
        controllers: int,
        zones: str,
        rng: random.Random,
    ) -> None:
        super().__init__(folder, entries, endpoints, controllers, zones)
        self._bound_ports = {listener: free_port() for listener in ("peer", "front", "control")}
        names = [*self.controllers, *self.entries]
        self.proxy = LinkProxy({self.address(name, "peer"): name for name in names}, rng)
        self._zones |= {one.name: one.zone for one in self.endpoints}
        self._longest_stall_s = 0.0
        self._stall_monitor: asyncio.Task[None] | None = None

    async def _start_all(self) -> None:
        self._stall_monitor = asyncio.create_task(self._measure_stalls())
        for name in self.controllers:
            await self._listen(name, Kind.PEER, "peer")
            await self._listen(name, Kind.CONTROL, "control")
        for name in self.entries:
            await self._listen(name, Kind.PEER, "peer")
            await self._listen(name, Kind.CALLERS, "front")
        for one in self.endpoints:
            await self.listen_to_endpoint(one)
        await super()._start_all()

    async def listen_to_endpoint(self, endpoint: ProxiedEndpoint) -> None:
        """Accept connections to *endpoint* at its advertised address."""
        receiver = endpoint.name.partition("-")[0]
        await self.proxy.listen(receiver, Kind.RUNS, _address(endpoint.address), endpoint.bound)

    async def _listen(self, name: str, kind: Kind, listener: str) -> None:
        at, target = self.address(name, listener), self._bound(name, listener)
        await self.proxy.listen(name, kind, _address(at), _address(target))

    async def __aexit__(self, *error: object) -> None:
        await super().__aexit__(*error)
        self.proxy.close()
        if self._stall_monitor is not None:
            self._stall_monitor.cancel()
        print(f"longest stall of the proxy: {self._longest_stall_s:.2f} s")

    async def _measure_stalls(self) -> None:
        """Record the longest event-loop stall, which delays every link."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(_CHECK_INTERVAL_S)
            stall_s = time.monotonic() - began - _CHECK_INTERVAL_S
            self._longest_stall_s = max(self._longest_stall_s, stall_s)

    def _new_session(self) -> ClientSession:
        # The test's own calls must not reuse a connection that the proxy has silenced.
        connector = TCPConnector(force_close=True)
        return ClientSession(connector=connector, timeout=ClientTimeout(total=CALL_TIMEOUT_S))

    def _launch_command(self, name: str, command: list[str]) -> list[str]:
        python, program = super()._launch_command(name, command)
        return [python, str(_LAUNCHER), program]

    def _variables(self, name: str, settings: Path) -> dict[str, str]:
        own = {BOUND_PEER: self._bound(name, "peer")}
        return super()._variables(name, settings) | own

    def _bound(self, name: str, listener: str) -> str:
        port = self._bound_ports.get(listener, self._ports[listener])
        return f"{self._ips[name]}:{port}"

    def _new_endpoint(self, name: str, host: str, zone: str) -> ProxiedEndpoint:
        return ProxiedEndpoint(name, host, free_port(), zone, self.sightings, free_port())
