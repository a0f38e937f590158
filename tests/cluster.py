# SPDX-License-Identifier: MIT
"""Real daemons and endpoint stand-ins as processes of their own, on loopback."""

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


class HttpAnswer(NamedTuple):
    """An HTTP answer: status, decoded JSON, headers."""

    status: int
    fields: Any
    headers: dict[str, str]


class EndpointSpec(NamedTuple):
    """An endpoint stand-in's endpoint."""

    name: str
    zone: str
    port: int
    speed: float


# A box writes what it has logged every 100 ms; what is looked for, or must not be there, may
# be among the newest lines.
_LOG_DELAY_S = 0.15

# Below the range that the kernel gives to outgoing connections. Each test process keeps a block for
# itself, by a lock that ends with it: a port may be probed long before its server binds it, and
# again while its server is down.
_FIRST_PORT, _BLOCK_PORTS, _BLOCK_COUNT = 10_000, 500, 44
_LOCK_FOLDER = Path(tempfile.gettempdir()) / "foldloom-test-ports"


@functools.cache
def _reserved_ports() -> Iterator[int]:
    """Return the ports of a block that no other test process has, over and over."""
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
    raise AssertionError(f"{_BLOCK_COUNT} test processes hold all blocks of ports")


def free_port() -> int:
    """Return a loopback port that nothing listens on, and that was not given a while before."""
    for port in _reserved_ports():
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("no port is free")


def http(
    method: str, url: str, body: Any = None, token: str = "", timeout_s: float = 60.0
) -> HttpAnswer:
    """Make one HTTP call, without sending anything again."""
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


def wait_until(condition: Callable[[], Any], what: str, timeout_s: float = _WAIT_S) -> Any:
    """Return the first true value of *condition*; fail when there is none in time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            value = condition()
        except (OSError, KeyError, TypeError):
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"not within {timeout_s} s: {what}")


class Cluster:
    """Boxes named ``a1, b1, c1, a2, ...`` over the zones, and endpoints in each zone.

    Args:
        folder: Where settings, logs and data go.
        zones: The zones' names.
        boxes_per_zone: Entry boxes in each.
        controllers: How many boxes, one zone after the other, are controllers too.
        endpoints_per_zone: Endpoint stand-ins in each.
        slow_every: Each n-th endpoint runs at half speed; 0 for none.
        overrides: Settings for every box, merged over the defaults.
        address_of: Returns the address at which *sender* reaches *receiver*; for proxies.
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
        """Start everything."""
        self.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """End every process that was started here."""
        self.end()

    def start(self) -> None:
        """Start the endpoints and the boxes and put the first intents in force."""
        self.start_endpoints()
        for box in self.boxes:
            self.write_settings(box)
            if box in self.controllers:
                self.format_data(box)
        for box in self.boxes:
            self.start_box(box)
        self.wait_version(self.confirm(self.first_intents()))
        self.wait_ready()

    def first_intents(self) -> list[dict[str, Any]]:
        """Return intents for the service ``sleep`` on all endpoints and one member."""
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
        """Write the settings of a box that was not there at the start; it is not started."""
        self.boxes.append(box)
        self._peer_ports[box] = free_port()
        self.http_ports[box] = free_port()
        self.write_settings(box)

    def format_data(self, box: str) -> None:
        """Make the data folder of a controller of a new system."""
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
        """Start one process of stand-ins for each zone."""
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
            wait_until(lambda url=url: http("GET", url).status == 200, f"worker {spec.name}")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process started here."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL and wait for it."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str, timeout_s: float = 30.0) -> int:
        """Ask a process to stop with SIGTERM and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout_s)

    def end(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def url(self, box: str) -> str:
        """Return the HTTP address of *box*."""
        return f"http://127.0.0.1:{self.http_ports[box]}"

    def submit(
        self,
        box: str,
        submission: str,
        payloads: list[Any],
        timeout_s: float = 60.0,
        **fields: Any,
    ) -> HttpAnswer:
        """Submit a job of one task a payload at *box* and return the answer."""
        body = {"service": "sleep", "member": "m1", "tasks": [{"payload": p} for p in payloads]}
        body.update(fields)
        return http("PUT", f"{self.url(box)}/v1/jobs/{submission}", body, timeout_s=timeout_s)

    def status(self, box: str) -> Any:
        """Return the status that *box* gives."""
        return http("GET", f"{self.url(box)}/v1/status", token=TOKEN, timeout_s=3).fields

    def plan(self, box: str, intents: list[dict[str, Any]]) -> HttpAnswer:
        """Return the plan for *intents*."""
        return http("POST", f"{self.url(box)}/v1/intents", {"intents": intents}, TOKEN)

    def confirm_plan(
        self, box: str, digest: str, command: str, intents: list[dict[str, Any]]
    ) -> HttpAnswer:
        """Confirm a plan."""
        body = {"command": command, "base_version": 0, "intents": intents}
        return http("POST", f"{self.url(box)}/v1/plans/{digest}/confirm", body, TOKEN)

    def confirm(self, intents: list[dict[str, Any]], boxes: list[str] | None = None) -> int:
        """Plan and confirm *intents*; return the version."""
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
        """Wait until *version* or a later one is in force on the boxes."""
        for box in boxes or self.boxes:
            wait_until(
                lambda box=box: self.status(box)["version"] >= version,
                f"version {version} on {box}",
            )

    def wait_ready(self, boxes: list[str] | None = None) -> None:
        """Wait until the boxes take jobs and vote on claims."""
        for box in boxes or self.boxes:
            wait_until(
                lambda box=box: http("GET", f"{self.url(box)}/readyz").status == 200,
                f"{box} ready",
            )
            wait_until(lambda box=box: self.status(box)["boxes"][box]["can_vote"], f"{box} votes")

    def starts(self) -> dict[str, int]:
        """Return how often each task was started, over all endpoints."""
        total: dict[str, int] = {}
        for spec in self.endpoints:
            fields = http("GET", f"http://127.0.0.1:{spec.port}/starts").fields
            for key, count in fields["starts"].items():
                total[key] = total.get(key, 0) + count
        return total

    def control_endpoint(self, name: str, **wanted: Any) -> None:
        """Set ``speed`` or ``refuse`` of a stand-in."""
        spec = next(spec for spec in self.endpoints if spec.name == name)
        http("POST", f"http://127.0.0.1:{spec.port}/control", wanted)

    def cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool."""
        command = [sys.executable, "-m", "foldloom.cli.main", *arguments]
        environment = {**os.environ, "FOLDLOOM_TOKEN": TOKEN}
        return subprocess.run(
            command, capture_output=True, text=True, env=environment, check=False, timeout=60
        )

    def log(self, box: str) -> str:
        """Return the log of *box* so far."""
        time.sleep(_LOG_DELAY_S)
        return (self.folder / f"{box}.log").read_text()

    def _start(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name}.out").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )
