# SPDX-License-Identifier: MIT
"""Open connections between boxes that go silent without a reset, while new ones work."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from cluster import free_port
from foldloom.exceptions import PeerUnreachableError
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.owners.messages import CancelJob, Cancelled
from foldloom.settings_file import settings_from
from proxy import FaultProxy

_TIMEOUT_MS = 150
_RETRY_INTERVAL_S = 0.01
_WAIT_MAX_S = 10.0
# Bounds until requests are answered again: heartbeat interval and timeout (1.0 s with seed
# discovery, 2.0 s without), the reconnect interval, and a margin for a busy box.
_DISCOVERY_RECOVERY_MAX_S = 1.5
_STATIC_RECOVERY_MAX_S = 3.0


class _Pair:
    """Two boxes connected through a proxy.

    Args:
        proxy: Proxy for the connections.
        uses_discovery: Whether to use seed discovery instead of static peers.
    """

    def __init__(self, proxy: FaultProxy, uses_discovery: bool) -> None:
        ports = {"a1": free_port(), "b1": free_port()}
        address_by_box = {
            "a1": f"127.0.0.1:{proxy.address_of('b1', 'a1', ports['a1'])}",
            "b1": f"127.0.0.1:{proxy.address_of('a1', 'b1', ports['b1'])}",
        }
        self.networks: dict[str, PeerNetwork] = {}
        self.peer_by_name = {}
        for name, peer in (("a1", "b1"), ("b1", "a1")):
            raw: dict[str, Any] = {
                "box": f"127.0.0.1:{ports[name]}" if uses_discovery else name,
                "zone": "a",
                "roles": ["entry"],
                "listen": f"127.0.0.1:{ports[name]}",
                "http": {"host": "127.0.0.1", "port": free_port()},
            }
            if uses_discovery:
                raw["seeds"] = [address_by_box[peer]]
            else:
                raw["peers"] = [
                    {"box": box, "zone": "a", "roles": ["entry"], "address": address_by_box[box]}
                    for box in address_by_box
                ]
            settings = settings_from(raw)
            if uses_discovery:
                # With seed discovery the name is the address, here that of the proxy.
                settings = msgspec.structs.replace(settings, box=address_by_box[name])
            network = PeerNetwork(settings, 5, Metrics())
            network.on(CancelJob, lambda _sender, _message: Cancelled())
            self.networks[name] = network
            self.peer_by_name[name] = address_by_box[peer] if uses_discovery else peer

    async def start(self) -> None:
        """Start both boxes and wait until each receives a reply from the peer."""
        for network in self.networks.values():
            await network.start()
        await self.wait_for_replies()

    async def wait_for_replies(self) -> float:
        """Send requests until both boxes have received a reply; return the seconds taken."""
        began = time.monotonic()
        for name, network in self.networks.items():
            while not await self._receives_reply(network, self.peer_by_name[name]):
                assert time.monotonic() - began < _WAIT_MAX_S
                await asyncio.sleep(_RETRY_INTERVAL_S)
        return time.monotonic() - began

    async def stop(self) -> None:
        """Stop both boxes."""
        for network in self.networks.values():
            await network.stop()

    @staticmethod
    async def _receives_reply(network: PeerNetwork, peer: str) -> bool:
        try:
            await network.request(peer, CancelJob("job"), _TIMEOUT_MS)
        except PeerUnreachableError:
            return False
        return True


@pytest.fixture
def proxy() -> Iterator[FaultProxy]:
    """Return a proxy that is closed after the test."""
    one = FaultProxy()
    yield one
    one.close()


class TestSilentConnections:
    """Guards against silent connections that keep boxes apart after a partition has healed."""

    @pytest.mark.parametrize(
        ("uses_discovery", "within_s"),
        [(True, _DISCOVERY_RECOVERY_MAX_S), (False, _STATIC_RECOVERY_MAX_S)],
    )
    def test_replaced_in_time(
        self, proxy: FaultProxy, uses_discovery: bool, within_s: float
    ) -> None:
        """Heartbeats detect silent connections, which are replaced within the bound."""

        async def run() -> float:
            pair = _Pair(proxy, uses_discovery)
            await pair.start()
            proxy.silence_open_connections()
            recovered_s = await pair.wait_for_replies()
            await pair.stop()
            return recovered_s

        recovered_s = asyncio.run(run())
        print(f"answered again after {recovered_s:.2f} s")
        assert recovered_s < within_s

    @pytest.mark.parametrize(
        ("uses_discovery", "within_s"),
        [(True, _DISCOVERY_RECOVERY_MAX_S), (False, _STATIC_RECOVERY_MAX_S)],
    )
    def test_replaced_in_time_in_the_handshake(
        self, proxy: FaultProxy, uses_discovery: bool, within_s: float
    ) -> None:
        """The handshake timeout detects connections that go silent before heartbeats begin."""

        async def run() -> float:
            pair = _Pair(proxy, uses_discovery)
            await pair.start()
            opened = {link: link.opened for link in proxy.links.values()}
            proxy.set_mode("cut", lambda _sender, _receiver: True)
            proxy.set_mode("freeze", lambda _sender, _receiver: True)
            began = time.monotonic()
            while any(link.opened == before for link, before in opened.items()):
                assert time.monotonic() - began < _WAIT_MAX_S
                await asyncio.sleep(_RETRY_INTERVAL_S)
            proxy.silence_open_connections()
            proxy.heal()
            recovered_s = await pair.wait_for_replies()
            await pair.stop()
            return recovered_s

        recovered_s = asyncio.run(run())
        print(f"answered again after {recovered_s:.2f} s")
        assert recovered_s < within_s
