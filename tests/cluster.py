# SPDX-License-Identifier: MIT
"""Starts daemons and endpoint stand-ins as separate processes on loopback."""

from __future__ import annotations

import fcntl
import functools
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import yaml

TOKEN = "operator-token-of-tests"
_STANDINS = Path(__file__).parent / "standins"
_WAIT_S = 20.0
# Longest time until a started process is up: it imports its modules, which a loaded machine delays.
# The waits above begin after it.
START_UP_MAX_S = 60.0


class HttpAnswer(NamedTuple):
    """An HTTP response: status, decoded JSON body (or text), headers."""

    status: int
    fields: Any
    headers: dict[str, str]


class EndpointSpec(NamedTuple):
    """Name, zone, port and relative speed of an endpoint stand-in."""

    name: str
    zone: str
    port: int
    speed: float


# Boxes flush their logs every 100 ms.
_LOG_DELAY_S = 0.15

# Below the kernel's ephemeral range. Each test process locks a block of ports until it exits, since
# a port is probed long before its server binds it and is unbound while its server is down.
_FIRST_PORT, _BLOCK_PORTS, _BLOCK_COUNT = 10_000, 500, 44
_LOCK_FOLDER = Path(tempfile.gettempdir()) / "foldloom-test-ports"


@functools.cache
def _reserved_ports() -> Iterator[int]:
    """Lock a block of ports for this process and cycle through it."""
    _LOCK_FOLDER.mkdir(exist_ok=True)
    for block in range(_BLOCK_COUNT):
        lock = os.open(_LOCK_FOLDER / str(block), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            continue
        first = _FIRST_PORT + block * _BLOCK_PORTS
        return itertools.cycle(range(first, first + _BLOCK_PORTS))
    raise AssertionError(f"{_BLOCK_COUNT} blocks of test ports are all locked by other processes")


def free_port() -> int:
    """Return a loopback port without a listener that was not returned recently."""
    for port in _reserved_ports():
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("no free port in the block of this test process")


def http(
    method: str, url: str, body: Any = None, token: str = "", timeout_s: float = 60.0
) -> HttpAnswer:
    """Make one HTTP call without retries."""
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return _answer(response.status, response.read(), response.headers)
    except urllib.error.HTTPError as error:
        return _answer(error.code, error.read(), error.headers)


def _answer(status: int, raw: bytes, headers: Any) -> HttpAnswer:
    try:
        return HttpAnswer(status, json.loads(raw), dict(headers))
    except ValueError:
        return HttpAnswer(status, raw.decode("utf-8", "replace"), dict(headers))


def wait_until(condition: Callable[[], Any], description: str, timeout_s: float = _WAIT_S) -> Any:
    """Return the first true value of *condition*; raise ``AssertionError`` after *timeout_s*."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            value = condition()
        except (OSError, KeyError, TypeError):
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"condition not met within {timeout_s} s: {description}")


class Cluster:
    """A cluster of boxes ``a1, b1, c1, a2, ...`` across the zones, with endpoints in each zone.

    Args:
        folder: Folder for settings, logs and data.
        zones: Zone names, one character each.
        boxes_per_zone: Entry boxes per zone.
        controllers: Number of boxes that are controllers too, assigned round-robin over the zones.
        endpoints_per_zone: Endpoint stand-ins per zone.
        slow_every: Every n-th endpoint runs at half speed; 0 for none.
        overrides: Settings for every box, merged over the defaults.
        address_of: Maps (sender, receiver, port) to the port the sender connects to; for proxies.
    """

    def __init__(
        self,
        folder: Path,
        zones: str = "abc",
        boxes_per_zone: int = 1,
        controllers: int = 3,
        endpoints_per_zone: int = 1,
        slow_every: int = 0,
        overrides: dict[str, Any] | None = None,
        address_of: Callable[[str, str, int], int] | None = None,
    ) -> None:
        self.folder = folder
        self.zones = zones
        self._overrides = overrides or {}
        self._address_of = address_of or (lambda _sender, _receiver, port: port)
        self.boxes = [f"{zone}{n + 1}" for n in range(boxes_per_zone) for zone in zones]
        self.controllers = self.boxes[:controllers]
        self._peer_ports = {box: free_port() for box in self.boxes}
        self.http_ports = {box: free_port() for box in self.boxes}
        self.endpoints = [
            EndpointSpec(f"{zone}w{n + 1}", zone, free_port(), 1.0)
            for zone in zones
            for n in range(endpoints_per_zone)
        ]
        if slow_every:
            self.endpoints = [
                spec._replace(speed=0.5) if n % slow_every == slow_every - 1 else spec
                for n, spec in enumerate(self.endpoints)
            ]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "tokens").write_text(TOKEN + "\n")

    def __enter__(self) -> Cluster:
        """Start the endpoints and boxes."""
        self.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Kill every process of the cluster."""
        self.end()

    def start(self) -> None:
        """Start the endpoints and boxes, apply the initial intents and wait until all are ready."""
        self.start_endpoints()
        for box in self.boxes:
            self.write_settings(box)
            if box in self.controllers:
                self.format_data(box)
        for box in self.boxes:
            self.start_box(box)
        for box in self.boxes:
            url = f"{self.url(box)}/readyz"
            wait_until(lambda url=url: http("GET", url), f"{box} up", START_UP_MAX_S)
        self.wait_version(self.confirm(self.first_intents()))
        self.wait_ready()

    def first_intents(self) -> list[dict[str, Any]]:
        """Return the intents for service ``sleep``, member ``m1`` and all endpoints."""
        endpoints = [
            {
                "kind": "worker",
                "name": spec.name,
                "endpoint": f"http://127.0.0.1:{spec.port}",
                "zone": spec.zone,
                "slots": 8,
            }
            for spec in self.endpoints
        ]
        return [
            {"kind": "service", "name": "sleep", "workers": ["*"]},
            {"kind": "member", "name": "m1", "quota": 1},
            *endpoints,
        ]

    def write_settings(self, box: str) -> Path:
        """Write the settings file of *box* and return its path."""
        peers = []
        for peer in self.boxes:
            port = self._peer_ports[peer]
            port_used = port if peer == box else self._address_of(box, peer, port)
            roles = ["entry", "controller"] if peer in self.controllers else ["entry"]
            address = f"127.0.0.1:{port_used}"
            peers.append({"box": peer, "zone": peer[0], "roles": roles, "address": address})
        settings: dict[str, Any] = {
            "box": box,
            "zone": box[0],
            "roles": ["entry", "controller"] if box in self.controllers else ["entry"],
            "listen": f"127.0.0.1:{self._peer_ports[box]}",
            "http": {"host": "127.0.0.1", "port": self.http_ports[box]},
            "operator_tokens_file": str(self.folder / "tokens"),
            "logs": {"file": str(self.folder / f"{box}.log")},
            "peers": peers,
        }
        if box in self.controllers:
            settings["data_folder"] = str(self.folder / f"{box}-data")
        for key, value in self._overrides.items():
            if isinstance(value, dict):
                settings[key] = {**settings.get(key, {}), **value}
            else:
                settings[key] = value
        path = self.folder / f"{box}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    def add_box(self, box: str) -> None:
        """Add a box and write its settings, without starting it."""
        self.boxes.append(box)
        self._peer_ports[box] = free_port()
        self.http_ports[box] = free_port()
        self.write_settings(box)

    def format_data(self, box: str) -> None:
        """Initialize the data folder of a controller for a new cluster."""
        self.cli("init-data", str(self.folder / f"{box}.yaml"))

    def wipe_data(self, box: str) -> None:
        """Empty the data folder of *box*."""
        shutil.rmtree(self.folder / f"{box}-data")
        (self.folder / f"{box}-data").mkdir()

    def start_box(self, box: str) -> None:
        """Start the daemon of *box*."""
        command = [sys.executable, "-m", "foldloom.daemon", str(self.folder / f"{box}.yaml")]
        self._start(box, command)

    def start_endpoints(self) -> None:
        """Start one process of endpoint stand-ins per zone and wait until they answer."""
        for zone in self.zones:
            specs = [spec for spec in self.endpoints if spec.zone == zone]
            if not specs:
                continue
            command = [
                sys.executable,
                str(_STANDINS / "endpoint.py"),
                "--ports",
                ",".join(str(spec.port) for spec in specs),
                "--speeds",
                ",".join(str(spec.speed) for spec in specs),
            ]
            self._start(f"workers-{zone}", command)
        for spec in self.endpoints:
            url = f"http://127.0.0.1:{spec.port}/starts"
            wait_until(
                lambda url=url: http("GET", url).status == 200,
                f"worker {spec.name}",
                START_UP_MAX_S,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of the cluster."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str, timeout_s: float = 30.0) -> int:
        """Send SIGTERM to a process and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout_s)

    def end(self) -> None:
        """Kill every process of the cluster."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def url(self, box: str) -> str:
        """Return the base URL of *box*."""
        return f"http://127.0.0.1:{self.http_ports[box]}"

    def submit(
        self,
        box: str,
        submission: str,
        payloads: list[Any],
        timeout_s: float = 60.0,
        **fields: Any,
    ) -> HttpAnswer:
        """Submit a job with one task per payload to *box* and return the response."""
        body = {"service": "sleep", "member": "m1", "tasks": [{"payload": p} for p in payloads]}
        body.update(fields)
        return http("PUT", f"{self.url(box)}/v1/jobs/{submission}", body, timeout_s=timeout_s)

    def status(self, box: str) -> Any:
        """Return the status document of *box*."""
        return http("GET", f"{self.url(box)}/v1/status", token=TOKEN, timeout_s=3).fields

    def plan(self, box: str, intents: list[dict[str, Any]]) -> HttpAnswer:
        """Request a plan for *intents*."""
        return http("POST", f"{self.url(box)}/v1/intents", {"intents": intents}, TOKEN)

    def confirm_plan(
        self, box: str, digest: str, command: str, intents: list[dict[str, Any]]
    ) -> HttpAnswer:
        """Confirm a plan."""
        body = {"command": command, "base_version": 0, "intents": intents}
        return http("POST", f"{self.url(box)}/v1/plans/{digest}/confirm", body, TOKEN)

    def confirm(self, intents: list[dict[str, Any]], boxes: list[str] | None = None) -> int:
        """Plan and confirm *intents*, retrying on all boxes; return the confirmed version."""
        command = f"command-{time.time_ns()}"

        def try_confirm() -> int | None:
            for box in boxes or self.boxes:
                try:
                    plan = self.plan(box, intents)
                except OSError:
                    continue
                if plan.status != 200 or not plan.fields["is_current"]:
                    continue
                answer = self.confirm_plan(box, plan.fields["digest"], command, intents)
                if answer.status == 200:
                    return int(answer.fields["version"])
            return None

        return int(wait_until(try_confirm, f"confirm {intents[:1]}"))

    def wait_version(self, version: int, boxes: list[str] | None = None) -> None:
        """Wait until the boxes have applied *version* or a later one."""
        for box in boxes or self.boxes:
            wait_until(
                lambda box=box: self.status(box)["version"] >= version,
                f"version {version} on {box}",
            )

    def wait_ready(self, boxes: list[str] | None = None) -> None:
        """Wait until the boxes accept jobs and vote on claims."""
        for box in boxes or self.boxes:
            wait_until(
                lambda box=box: http("GET", f"{self.url(box)}/readyz").status == 200,
                f"{box} ready",
            )
            wait_until(lambda box=box: self.status(box)["boxes"][box]["can_vote"], f"{box} votes")

    def starts(self) -> dict[str, int]:
        """Return the number of starts per task, summed over all endpoints."""
        total: dict[str, int] = {}
        for spec in self.endpoints:
            fields = http("GET", f"http://127.0.0.1:{spec.port}/starts").fields
            for key, count in fields["starts"].items():
                total[key] = total.get(key, 0) + count
        return total

    def control_endpoint(self, name: str, **changes: Any) -> None:
        """Set ``speed`` or ``refuse`` of an endpoint stand-in."""
        spec = next(spec for spec in self.endpoints if spec.name == name)
        http("POST", f"http://127.0.0.1:{spec.port}/control", changes)

    def cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool and return its result."""
        command = [sys.executable, "-m", "foldloom.cli.main", *arguments]
        environment = {**os.environ, "FOLDLOOM_TOKEN": TOKEN}
        return subprocess.run(
            command, capture_output=True, text=True, env=environment, check=False, timeout=60
        )

    def log(self, box: str) -> str:
        """Return the log of *box*, including the latest flush."""
        time.sleep(_LOG_DELAY_S)
        return (self.folder / f"{box}.log").read_text()

    def _start(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name}.out").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )
