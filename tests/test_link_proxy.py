# SPDX-License-Identifier: MIT
"""Tests of the fault-injecting link proxy between two boxes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from cluster import free_port
from foldloom.exceptions import PeerUnreachableError
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.owners.messages import CancelJob, Cancelled
from foldloom.settings_file import settings_from
from link_proxy import Fault, Kind, Link, LinkProxy

_HOST = "127.0.0.1"
_TIMEOUT_MS = 1_000
_SHORT_TIMEOUT_MS = 150
_WAIT_S = 5.0


class _Boxes:
    """Two boxes, ``a`` and ``b``, and the proxy between them."""

    def __init__(self) -> None:
        self.advertised = {name: f"{_HOST}:{free_port()}" for name in "ab"}
        names = {address: name for name, address in self.advertised.items()}
        self.proxy = LinkProxy(names, random.Random(1))
        self.received: dict[str, list[str]] = {"a": [], "b": []}
        self._bound = {name: f"{_HOST}:{free_port()}" for name in "ab"}
        self._networks = {name: self._network(name) for name in "ab"}

    def _network(self, name: str) -> PeerNetwork:
        raw = {
            "box": self.advertised[name],
            "zone": "a",
            "roles": ["entry"],
            "listen": self.advertised[name],
            "seeds": list(self.advertised.values()),
            "http": {"host": _HOST, "port": free_port()},
        }
        settings = msgspec.structs.replace(settings_from(raw), listen=self._bound[name])
        network = PeerNetwork(settings, 5, Metrics())

        def on_cancel(_sender: str, message: CancelJob) -> Cancelled:
            self.received[name].append(message.job_id)
            return Cancelled()

        network.on(CancelJob, on_cancel)
        return network

    async def __aenter__(self) -> _Boxes:
        for name, network in self._networks.items():
            at, target = self.advertised[name].split(":"), self._bound[name].split(":")
            await self.proxy.listen(
                name, Kind.PEER, (at[0], int(at[1])), (target[0], int(target[1]))
            )
            await network.start()
        await self.wait_connected()
        return self

    async def __aexit__(self, *_: object) -> None:
        for network in self._networks.values():
            await network.stop()
        self.proxy.close()

    def send(self, sender: str, job: str, ttl_ms: int = _TIMEOUT_MS) -> None:
        """Send a message to the other box without waiting for a reply."""
        receiver = "b" if sender == "a" else "a"
        self._networks[sender].send(self.advertised[receiver], CancelJob(job), ttl_ms)

    async def is_answered(
        self, sender: str, job: str = "", timeout_ms: int = _SHORT_TIMEOUT_MS
    ) -> bool:
        """Return whether the other box replies to *sender* within the timeout."""
        receiver = "b" if sender == "a" else "a"
        try:
            await self._networks[sender].request(
                self.advertised[receiver], CancelJob(job), timeout_ms
            )
        except PeerUnreachableError:
            return False
        return True

    async def wait_connected(self) -> None:
        """Wait until both boxes reply to each other."""
        began = time.monotonic()
        while not (await self.is_answered("a") and await self.is_answered("b")):
            assert time.monotonic() - began < _WAIT_S


def _play(scenario: Callable[[_Boxes], Awaitable[None]]) -> None:
    async def run() -> None:
        async with _Boxes() as boxes:
            await scenario(boxes)

    asyncio.run(run())


def _from_a(link: Link) -> bool:
    return link.sender == "a"


def _all(_link: Link) -> bool:
    return True


class TestFaults:
    """Guards against faults that affect other links or outlast their duration."""

    def test_held_up_one_way(self) -> None:
        """Held messages arrive after the fault; the other direction works."""

        async def scenario(boxes: _Boxes) -> None:
            with boxes.proxy.inject(Fault(_from_a, holds_requests=True)):
                boxes.send("a", "held")
                boxes.send("b", "passes")
                await asyncio.sleep(0.2)
                assert "held" not in boxes.received["b"]
                assert "passes" in boxes.received["a"]
            await asyncio.sleep(0.2)
            assert "held" in boxes.received["b"]

        _play(scenario)

    def test_refused_one_way(self) -> None:
        """Messages sent during the fault are lost; later ones arrive over a new connection."""

        async def scenario(boxes: _Boxes) -> None:
            with boxes.proxy.inject(Fault(_from_a, is_refusing=True)):
                await asyncio.sleep(0.1)
                boxes.send("a", "lost")
                boxes.send("b", "passes")
                await asyncio.sleep(0.2)
                assert "passes" in boxes.received["a"]
            await boxes.wait_connected()
            assert "lost" not in boxes.received["b"]

        _play(scenario)

    def test_late_in_order(self) -> None:
        """Delayed messages keep their order."""

        async def scenario(boxes: _Boxes) -> None:
            with boxes.proxy.inject(Fault(_from_a, delay_s=(0.1, 0.3))):
                began = time.monotonic()
                for number in range(5):
                    boxes.send("a", str(number))
                    await asyncio.sleep(0.02)
                while "4" not in boxes.received["b"]:
                    assert time.monotonic() - began < _WAIT_S
                    await asyncio.sleep(0.01)
                assert time.monotonic() - began > 0.1
            numbers = [job for job in boxes.received["b"] if job]
            assert numbers == sorted(numbers)
            assert len(numbers) == 5

        _play(scenario)

    def test_reset(self) -> None:
        """The boxes reconnect after a reset."""

        async def scenario(boxes: _Boxes) -> None:
            boxes.proxy.reset(_all)
            await boxes.wait_connected()

        _play(scenario)

    def test_stalled(self) -> None:
        """A new connection works while the old one is stalled."""

        async def scenario(boxes: _Boxes) -> None:
            with boxes.proxy.stalled(_from_a):
                assert not await boxes.is_answered("a")
                await boxes.wait_connected()

        _play(scenario)

    def test_silent_for_good(self) -> None:
        """Data on a silenced connection is lost; a new connection works."""

        async def scenario(boxes: _Boxes) -> None:
            boxes.proxy.silence(_from_a)
            boxes.send("a", "lost", ttl_ms=10_000)
            assert not await boxes.is_answered("a")
            await boxes.wait_connected()
            assert "lost" not in boxes.received["b"]

        _play(scenario)
