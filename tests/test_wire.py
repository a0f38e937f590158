# SPDX-License-Identifier: MIT
"""Messages between boxes: unknown senders, duplicates, expired messages, other releases."""

from __future__ import annotations

import asyncio
import gc
import time
import warnings
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
import zmq

from cluster import Cluster, free_port, wait_until
from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.peers.messages import (
    Envelope,
    Frame,
    decode_body,
    encode_body,
    encode_envelope,
    kind_of,
)
from foldloom.peers.wire import PeerNetwork
from foldloom.settings_file import settings_from
from foldloom.static_peers.claims.messages import ClaimReply, ClaimRequest, Vote
from foldloom.static_peers.membership import Heartbeat

_HEARTBEAT = Heartbeat(1, False, True, [])


def _raw_settings(ports: dict[str, int], box: str) -> dict[str, Any]:
    peers = [
        {"box": name, "zone": name[0], "roles": ["entry"], "address": f"127.0.0.1:{port}"}
        for name, port in ports.items()
    ]
    return {
        "box": box,
        "zone": box[0],
        "roles": ["entry"],
        "listen": f"127.0.0.1:{ports[box]}",
        "http": {"host": "127.0.0.1", "port": free_port()},
        "peers": peers,
    }


def _envelope(sender: str, incarnation: int, message: Any, ttl_ms: int = 1_000) -> Envelope:
    frame = Frame(kind_of(message), 1, 0, ttl_ms, encode_body(message))
    return Envelope(sender, incarnation, int(monotonic_ms()), [frame])


class Received(NamedTuple):
    """Messages received by a box, and its counters."""

    messages: list[Any]
    counts: dict[str, int]


def _receive(act: Callable[[zmq.Socket[bytes]], None], expected: int) -> Received:
    """Run box ``a1``, let *act* send to it over a raw socket, and return the received messages."""
    ports = {"a1": free_port(), "b1": free_port()}
    received: list[Any] = []

    async def run() -> dict[str, int]:
        metrics = Metrics()
        network = PeerNetwork(settings_from(_raw_settings(ports, "a1")), 5, metrics)
        network.on(Heartbeat, lambda sender, message: received.append((sender, message)))
        await network.start()
        context = zmq.Context()
        socket: zmq.Socket[bytes] = context.socket(zmq.DEALER)
        socket.connect(f"tcp://127.0.0.1:{ports['a1']}")
        await asyncio.to_thread(act, socket)
        deadline = time.monotonic() + 5
        counter = "bytes.received"
        while len(received) < expected and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        while counter not in metrics.counts and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        counts = metrics.counts
        context.destroy(linger=0)
        await network.stop()
        return counts

    counts = asyncio.run(run())
    return Received(received, counts)


class TestStop:
    """Guards against coroutines left unawaited when a network stops."""

    @pytest.mark.parametrize("sender", ["a1", "b1"])
    def test_a_handler_that_has_not_begun(self, sender: str) -> None:
        """The coroutine of a handler cancelled before its first step is closed."""
        stopping: list[asyncio.Task[None]] = []

        async def run() -> None:
            ports = {"a1": free_port(), "b1": free_port()}
            networks = {
                box: PeerNetwork(settings_from(_raw_settings(ports, box)), 1, Metrics())
                for box in ports
            }

            async def handle_later() -> None:
                raise AssertionError("the network had stopped")

            def handle(_sender: str, _message: Any) -> Awaitable[None] | None:
                if stopping:
                    return None
                # Scheduled before the handler's task, which is created later.
                stopping.append(asyncio.create_task(networks["a1"].stop()))
                return handle_later()

            networks["a1"].on(Heartbeat, handle)
            for network in networks.values():
                await network.start()
            async with asyncio.timeout(5):
                while not stopping:
                    networks[sender].send("a1", _HEARTBEAT)
                    await asyncio.sleep(0.01)
            await asyncio.gather(*stopping)
            await networks["b1"].stop()

        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always")
            asyncio.run(run())
            gc.collect()
        assert not [str(one.message) for one in caught if one.category is RuntimeWarning]


class TestUnknownSenders:
    """Guards against messages of unknown senders and malformed messages."""

    def test_unknown_sender_is_counted(self) -> None:
        """A message from a box that is not in the settings is dropped and counted."""
        data = encode_envelope(_envelope("z9", 1, _HEARTBEAT))
        received = _receive(lambda socket: socket.send(data), 0)
        assert received.messages == []
        assert received.counts["messages.dropped.stranger"] == 1

    def test_malformed_is_counted(self) -> None:
        """A malformed envelope is dropped and counted; the next message is received."""
        good = encode_envelope(_envelope("b1", 1, _HEARTBEAT))

        def act(socket: zmq.Socket[bytes]) -> None:
            socket.send(b"\xc1 nonsense")
            socket.send(good)

        received = _receive(act, 1)
        assert len(received.messages) == 1
        assert received.counts["messages.dropped.malformed"] == 1


class TestLateMessages:
    """Guards against stale messages that ZeroMQ delivers late."""

    def test_expired_is_dropped(self) -> None:
        """A message older than its time-to-live is dropped."""
        first = encode_envelope(_envelope("b1", 1, _HEARTBEAT))
        late = _envelope("b1", 1, _HEARTBEAT, ttl_ms=100)
        late = encode_envelope(late._replace(sent_ms=late.sent_ms - 500))

        def act(socket: zmq.Socket[bytes]) -> None:
            socket.send(first)
            socket.send(late)

        received = _receive(act, 1)
        assert len(received.messages) == 1
        assert received.counts["messages.dropped.expired"] == 1

    def test_older_life_is_dropped(self) -> None:
        """A message of an earlier incarnation of a restarted box is dropped."""
        envelopes = [
            encode_envelope(_envelope("b1", incarnation, _HEARTBEAT)) for incarnation in (7, 6)
        ]

        def act(socket: zmq.Socket[bytes]) -> None:
            for data in envelopes:
                socket.send(data)

        received = _receive(act, 1)
        assert len(received.messages) == 1
        assert received.counts["messages.dropped.old-incarnation"] == 1


class TestOtherReleases:
    """Guards the compatibility of messages during rolling upgrades."""

    def test_more_fields(self) -> None:
        """Unknown trailing fields are ignored."""
        longer = msgspec.Raw(msgspec.msgpack.encode([*_HEARTBEAT, "new", 1]))
        assert decode_body(Frame(kind_of(_HEARTBEAT), 0, 0, 0, longer)) == _HEARTBEAT

    def test_fewer_fields(self) -> None:
        """Missing trailing fields take their defaults."""
        shorter = msgspec.Raw(msgspec.msgpack.encode(list(_HEARTBEAT)[:4]))
        assert decode_body(Frame(kind_of(_HEARTBEAT), 0, 0, 0, shorter)) == _HEARTBEAT


class TestCancelledRequests:
    """Guards against lost cancellations of requests."""

    def test_cancelled_as_the_reply_arrives(self) -> None:
        """A cancellation that arrives with the reply ends the task."""
        ports = {"a1": free_port(), "b1": free_port()}

        async def run() -> None:
            network = PeerNetwork(settings_from(_raw_settings(ports, "a1")), 5, Metrics())
            request = asyncio.create_task(network.request("b1", _HEARTBEAT, 1_000.0))
            await asyncio.sleep(0)
            (pending,) = network._pending_requests.values()
            pending.reply.set_result("reply")
            request.cancel()
            with pytest.raises(asyncio.CancelledError):
                await request
            await network.stop()

        asyncio.run(run())


class TestDuplicateClaims:
    """Guards a real daemon against duplicate claim requests."""

    @pytest.fixture
    def cluster(self, tmp_path: Path) -> Iterator[Cluster]:
        """Return a cluster of three boxes."""
        with Cluster(tmp_path) as running:
            yield running

    def test_counts_once_and_crossed_reply_is_ignored(self, cluster: Cluster) -> None:
        """Duplicate claim requests and unsolicited replies start no task."""
        incarnation = int(time.time() * 1000) + 10_000
        request = ClaimRequest("doubled", "00" * 16, incarnation, 1, 0)
        reply = ClaimReply(Vote.GRANTED, incarnation, {}, [])
        context = zmq.Context()
        socket: zmq.Socket[bytes] = context.socket(zmq.DEALER)
        socket.connect(f"tcp://127.0.0.1:{cluster._peer_ports['a1']}")
        for message in (request, request, reply, request):
            socket.send(encode_envelope(_envelope("b1", incarnation, message)))
        wait_until(
            lambda: cluster.status("a1")["metrics"].get("claims.granted", 0) >= 3, "three votes"
        )
        context.destroy(linger=0)
        answer = cluster.submit("a1", "doubled", [{"ms": 1}])
        assert answer.status in (409, 502, 503)
        assert cluster.starts() == {}


class TestKeys:
    """Guards the authentication between boxes with CURVE."""

    def test_boxes_with_keys_serve_and_strangers_get_nothing(self, tmp_path: Path) -> None:
        """Boxes with listed keys serve jobs; messages from other sockets have no effect."""
        cluster = Cluster(tmp_path)
        keys = {box: zmq.curve_keypair() for box in cluster.boxes}
        write = cluster.write_settings

        def write_with_keys(box: str) -> Path:
            path = write(box)
            settings = msgspec.yaml.decode(path.read_bytes())
            (tmp_path / f"{box}.key").write_bytes(keys[box][1])
            settings["secret_key_file"] = str(tmp_path / f"{box}.key")
            for peer in settings["peers"]:
                peer["public_key"] = keys[peer["box"]][0].decode()
            path.write_bytes(msgspec.yaml.encode(settings))
            return path

        cluster.write_settings = write_with_keys  # type: ignore[method-assign]
        with cluster:
            assert cluster.submit("a1", "with-keys", [{"ms": 1}] * 3).status == 200
            before = cluster.status("a1")["metrics"].get("messages.dropped.stranger", 0)
            future = int(time.time() * 1000) + 10**9
            heartbeat = Heartbeat(10**6, True, True, [])
            context = zmq.Context()
            for key_pair in (None, zmq.curve_keypair()):
                socket: zmq.Socket[bytes] = context.socket(zmq.DEALER)
                # With the default linger, unsent messages would block context termination.
                socket.setsockopt(zmq.LINGER, 0)
                if key_pair is not None:
                    socket.curve_publickey, socket.curve_secretkey = key_pair
                    socket.curve_serverkey = keys["a1"][0]
                socket.connect(f"tcp://127.0.0.1:{cluster._peer_ports['a1']}")
                socket.send(encode_envelope(_envelope("b1", future, heartbeat)))
            time.sleep(0.5)
            context.destroy(linger=0)
            status = cluster.status("a1")
            assert status["boxes"]["b1"]["version"] < 10**6
            assert not status["boxes"]["b1"]["is_stopping"]
            assert status["metrics"].get("messages.dropped.stranger", 0) == before
            secret = keys["a1"][1].decode()
            assert not any(secret in cluster.log(box) for box in cluster.boxes)
