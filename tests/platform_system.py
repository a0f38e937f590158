# SPDX-License-Identifier: MIT
"""Runs the platform's programs as processes on loopback, with endpoint stand-ins.

Each box has its own loopback address, since all boxes of a platform use the same ports.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import os
import shutil
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from cluster import START_UP_MAX_S, free_port
from foldloom.pauses import Pause, watch_pauses
from standins.run_endpoint import SERVICE, RunEndpoint, Sightings
from suspension import SuspendableClock

_ROOT = Path(__file__).resolve().parent.parent
_HOST, _PREFIX = "desk.example", "/jobs/"
_ZONE = "a"
_WAIT_S = 20.0
# Until a pause is in the log: 100 ms each for the clock check and the log flush, plus slack.
_LOG_DELAY_S = 0.4
# Process pauses listed in a failure message.
_PAUSES_SHOWN = 5
CALL_TIMEOUT_S = 10.0
_SUBNET_PARTS = 250
_SUBNETS = _SUBNET_PARTS * _SUBNET_PARTS
_SUBNETS_APART = 101


# One subnet per system, since some ports are the same on every box.
_subnets = itertools.count(os.getpid() * _SUBNETS_APART)


def _next_subnet() -> str:
    """Return the first three octets of a subnet for one system."""
    number = next(_subnets) % _SUBNETS
    return f"127.{1 + number // _SUBNET_PARTS}.{1 + number % _SUBNET_PARTS}"


class Answer(NamedTuple):
    """The response to a client's call; status 0 if there was none."""

    status: int
    fields: dict[str, Any]
    took_ms: float


class ZoneClaim(NamedTuple):
    """The acquisition of a zone by an entry process."""

    token: int
    box: str


def steps(
    tasks: int = 1, ms: int = 20, how: str = "done", estimate_ms: int = 0, cpu_milli: int = 1_000
) -> dict[str, Any]:
    """Return the body of a best-effort job with one phase.

    A large *estimate_ms* keeps a run that is slow under load from being abandoned.
    """
    spec = msgspec.json.encode({"ms": ms, "how": how}).decode()
    phase = {"count": tasks, "cpu": cpu_milli, "mem_mb": 64, "estimate_ms": estimate_ms or ms}
    return {"spec": spec, "phases": [phase], "best_effort": True}


def crashing_steps(crash_ms: int, ms: int = 1_000) -> dict[str, Any]:
    """Return the body of a one-task job that crashes every endpoint that starts it."""
    body = steps(1, ms)
    body["spec"] = msgspec.json.encode({"ms": ms, "crash_ms": crash_ms}).decode()
    return body


def job_id(number: int) -> str:
    """Return the job id for a number."""
    return f"{number:016x}"


def job_url(front: str, text: str, deadline_ms: int) -> tuple[str, dict[str, str]]:
    """Return the submission URL for a job id, and the request headers."""
    headers = {"Host": _HOST, "X-Foldloom-Deadline-Ms": str(deadline_ms)}
    return f"http://{front}{_PREFIX}{text}", headers


class PlatformSystem:
    """Controllers, entry processes and endpoints, assigned round-robin to the zones.

    Args:
        folder: Folder for settings, logs and controller data.
        entries: Number of entry processes.
        endpoints: Number of endpoints.
        controllers: Number of controllers.
        zones: Zone names, one character each.
        boot_clock_stops: Whether ``CLOCK_BOOTTIME`` of a suspended box stops too.
    """

    def __init__(
        self,
        folder: Path,
        entries: int = 3,
        endpoints: int = 2,
        controllers: int = 1,
        zones: str = _ZONE,
        boot_clock_stops: bool = False,
    ) -> None:
        self.controllers = [f"c{number}" for number in range(controllers)]
        self.entries = [f"e{number}" for number in range(entries)]
        self.sightings = Sightings()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._folder = folder
        self._ports = {name: free_port() for name in ("peer", "front", "ready", "control")}
        subnet = _next_subnet()
        names = [*self.controllers, *self.entries]
        self._zones = {name: zones[int(name[1:]) % len(zones)] for name in names}
        self._ips = {name: f"{subnet}.{number + 1}" for number, name in enumerate(names)}
        self.endpoints = [
            self._new_endpoint(f"w{number}", f"{subnet}.{100 + number}", zones[number % len(zones)])
            for number in range(endpoints)
        ]
        self._clocks = {
            name: SuspendableClock(folder / f"{name}.suspended", boot_clock_stops) for name in names
        }
        self._session: ClientSession | None = None
        self._own_pauses: list[Pause] = []
        self._pause_watcher: asyncio.Task[None] | None = None
        # Time of the last start, stop, freeze or thaw per box; monotonic clock.
        self._disturbed_s: dict[str, float] = {}
        self.sightings.is_undisturbed = self.is_undisturbed

    @property
    def control(self) -> str:
        """The control address of the first controller."""
        return self.address("c0", "control")

    @property
    def control_addresses(self) -> list[str]:
        """The control address of each controller, used by endpoints and the operator."""
        return [self.address(name, "control") for name in self.controllers]

    def address(self, name: str, listener: str) -> str:
        """Return the ``IP:port`` of a listener of a box."""
        return f"{self._ips[name]}:{self._ports[listener]}"

    def zone_of(self, name: str) -> str:
        """Return the zone of a box."""
        return self._zones[name]

    async def __aenter__(self) -> PlatformSystem:
        self._session = self._new_session()
        self._pause_watcher = asyncio.create_task(watch_pauses(self._own_pauses.append))
        try:
            await self._start_all()
        except BaseException:
            # Kill all processes when start-up fails.
            await self.__aexit__()
            raise
        return self

    async def _start_all(self) -> None:
        for name in self._ips:
            await self.start(name, is_first=True)
        for endpoint in self.endpoints:
            await endpoint.start(self.control_addresses)
        for name in self._ips:
            await self.until(lambda name=name: self.is_up(name), f"{name} up", START_UP_MAX_S)
        await self.until(lambda: self.configure(1), "configuration acknowledged")
        for name in self.entries:
            await self.until(lambda name=name: self._is_ready(name), f"{name} ready")
        await self.until(self._serves_jobs, "a job completed on every entry process")

    async def __aexit__(self, *_: object) -> None:
        for endpoint in self.endpoints:
            await endpoint.stop()
        for name in list(self.processes):
            await self.kill(name)
        assert self._session is not None
        await self._session.close()
        assert self._pause_watcher is not None
        self._pause_watcher.cancel()

    def record_disturbance(self, name: str, until_s: float = 0.0) -> None:
        """Record a disturbance of a box, now or until *until_s* (monotonic clock)."""
        self._disturbed_s[name] = until_s or time.monotonic()

    def is_undisturbed(self, zone: str, since_s: float) -> bool:
        """Return whether no controller and no entry process of *zone* was disturbed since."""
        relevant_boxes = [
            *self.controllers,
            *(name for name in self.entries if self.zone_of(name) == zone),
        ]
        return all(self._disturbed_s[name] < since_s for name in relevant_boxes)

    async def start(self, name: str, is_first: bool = False) -> None:
        """Start the program of a box."""
        self.record_disturbance(name)
        path = self._folder / f"{name}.toml"
        path.write_text(self._settings(name, is_first))
        program = "controller" if name.startswith("c") else "entry"
        with (self._folder / f"{name}.log").open("ab") as log:
            command = [
                sys.executable,
                str(_ROOT / "platform" / f"{program}.py"),
            ]
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self._launch_command(name, command),
                env={**os.environ, "PYTHONFAULTHANDLER": "1", **self._variables(name, path)},
                stdout=log,
                stderr=log,
            )

    async def kill(self, name: str) -> None:
        """Kill the program of a box and wait for its exit."""
        self.record_disturbance(name)
        process = self.processes.pop(name)
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def abort(self, name: str) -> None:
        """Send SIGABRT so that the program logs the stack of every thread."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGABRT)
        await process.wait()

    def freeze(self, name: str) -> None:
        """Stop the program of a box with SIGSTOP."""
        self.record_disturbance(name, math.inf)
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Continue a frozen program with SIGCONT."""
        self.record_disturbance(name)
        self.processes[name].send_signal(signal.SIGCONT)

    def suspend(self, name: str) -> None:
        """Suspend a box: its program and its monotonic clock stop."""
        self.record_disturbance(name, math.inf)
        self._clocks[name].suspend(self.processes[name].pid)

    def resume(self, name: str) -> None:
        """Resume a suspended box."""
        self.record_disturbance(name)
        self._clocks[name].resume(self.processes[name].pid)

    def log_of(self, name: str) -> str:
        """Return the log of a box."""
        return (self._folder / f"{name}.log").read_text()

    @property
    def logs(self) -> list[str]:
        """The paths of all log files."""
        return [str(self._folder / f"{name}.log") for name in self._ips]

    def events(self, name: str, kind: str) -> list[dict[str, Any]]:
        """Return the log events of one kind from a box."""
        texts = self.log_of(name).splitlines()
        # Other lines are written by the interpreter, such as the traceback of an aborted program.
        lines = (
            msgspec.json.decode(text) for text in texts if text.startswith("{") and kind in text
        )
        return [line for line in lines if line.get("event") == kind]

    def owner(self) -> str:
        """Return the entry process with the highest fencing token in its claims."""
        tokens = {
            name: max((line["token"] for line in self.events(name, "owner.claimed")), default=0)
            for name in self.entries
        }
        return max(tokens, key=lambda name: tokens[name])

    def zone_claims(self, zone: str) -> list[ZoneClaim]:
        """Return the claims of a zone by entry processes, with ascending fencing tokens."""
        return sorted(
            ZoneClaim(line["token"], name)
            for name in self.entries
            for line in self.events(name, "owner.claimed")
            if line["zone"] == zone
        )

    def wipe(self, name: str) -> None:
        """Empty the data folder of a stopped controller."""
        shutil.rmtree(self._folder / name)
        (self._folder / name).mkdir()

    async def configure(self, version: int, controller: str = "c0") -> bool:
        """Send a configuration to a controller and return whether it was acknowledged."""
        route = {
            "name": "jobs",
            "host": _HOST,
            "path_prefix": _PREFIX,
            "service": SERVICE,
            "timeout_ms": 5_000,
            "target_latency_ms": 60,
            "max_attempts": 2,
            "extension": 1.6,
        }
        document = {"version": version, "routes": [route], "services": [{"name": SERVICE}]}
        url = f"http://{self.address(controller, 'control')}/foldloom/config"
        return (await self._call("PUT", url, document)).status == 200

    async def read_version(self, controller: str) -> int | None:
        """Return the configuration version of a controller, or ``None`` if the read fails."""
        url = f"http://{self.address(controller, 'control')}/foldloom/config"
        answer = await self._call("GET", url)
        return int(answer.fields["version"]) if answer.status == 200 else None

    async def submit(self, entry: str, number: int, body: Any, deadline_ms: int = 4_000) -> Answer:
        """Submit a job and return the response."""
        return await self.submit_text(entry, job_id(number), body, deadline_ms)

    async def submit_text(
        self, entry: str, text: str, body: Any, deadline_ms: int = 4_000
    ) -> Answer:
        """Submit a job under an arbitrary id; a body of bytes is sent unchanged."""
        url, headers = job_url(self.address(entry, "front"), text, deadline_ms)
        return await self._call("POST", url, body, headers)

    async def until(
        self,
        condition: Callable[[], Awaitable[bool]],
        description: str,
        timeout_s: float = _WAIT_S,
    ) -> None:
        """Wait for *condition*; raise ``AssertionError`` after *timeout_s*."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError(
            f"condition not met within {timeout_s} s: {description}; {self.describe_pauses()}"
        )

    async def delays(self) -> int:
        """Return the number of process pauses, this process included, and overdue responses."""
        await asyncio.sleep(_LOG_DELAY_S)
        overdue = [self.events(name, "endpoint.suspected") for name in self.entries]
        return len(self._pauses_logged()) + sum(map(len, overdue))

    def describe_pauses(self) -> str:
        """Describe the longest pauses and the boxes with empty logs."""
        longest = ", ".join(
            f"{name} {pause.paused_ms} ms ({pause.processor_ms} ms of CPU time)"
            for pause, name in sorted(self._pauses_logged(), reverse=True)[:_PAUSES_SHOWN]
        )
        silent = [name for name in self._ips if not self.log_of(name)]
        return f"longest pauses: {longest or 'none'}; boxes with empty logs: {silent or 'none'}"

    def _pauses_logged(self) -> list[tuple[Pause, str]]:
        own = [(pause, "this process") for pause in self._own_pauses]
        return own + [
            (Pause(event["paused_ms"], event["processor_ms"]), name)
            for name in self._ips
            for event in self.events(name, "process.paused")
        ]

    async def is_up(self, name: str) -> bool:
        """Return whether the program of a box answers HTTP."""
        listener = "control" if name in self.controllers else "ready"
        url = f"http://{self._bound(name, listener)}/"
        return (await self._call("GET", url)).status != 0

    async def _is_ready(self, name: str) -> bool:
        url = f"http://{self.address(name, 'ready')}/foldloom/readyz"
        return (await self._call("GET", url)).status == 200

    async def _serves_jobs(self) -> bool:
        answers = [
            await self.submit(name, 2**60 + number, steps(), 500)
            for number, name in enumerate(self.entries)
        ]
        return all(answer.status == 200 for answer in answers)

    async def listen_to_endpoint(self, endpoint: Any) -> None:
        """Prepare for an endpoint at a new address; for subclasses with a proxy in front."""

    async def _call(
        self, method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Answer:
        data = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        assert self._session is not None
        began = time.monotonic()
        try:
            async with self._session.request(method, url, data=data, headers=headers) as response:
                content = await response.read()
        except (ClientError, TimeoutError, OSError):
            return Answer(0, {}, (time.monotonic() - began) * 1_000)
        took_ms = (time.monotonic() - began) * 1_000
        fields = msgspec.json.decode(content) if content.startswith(b"{") else {}
        return Answer(response.status, fields, took_ms)

    def _new_session(self) -> ClientSession:
        return ClientSession(timeout=ClientTimeout(total=CALL_TIMEOUT_S))

    def _variables(self, name: str, settings: Path) -> dict[str, str]:
        """Return the environment variables for the program of a box."""
        return {"FOLDLOOM_SETTINGS": str(settings), **self._clocks[name].variables}

    def _bound(self, name: str, listener: str) -> str:
        """Return the ``IP:port`` that the program binds for HTTP; a proxy may be in front."""
        return self.address(name, listener)

    def _new_endpoint(self, name: str, host: str, zone: str) -> RunEndpoint:
        return RunEndpoint(name, host, free_port(), zone, self.sightings)

    def _settings(self, name: str, is_first: bool) -> str:
        ip, peer = self._ips[name], self._ports["peer"]
        lines = [
            f'node_name = "{name}"',
            f'ip = "{ip}"',
            f'zone = "{self._zones[name]}"',
            f"internal_ports = [{peer}, {peer}]",
            f"seed_nodes = {msgspec.json.encode(self.control_addresses).decode()}",
            f"bootstrap = {str(is_first).lower()}",
        ]
        if name.startswith("c"):
            lines.append(f'data_dir = "{self._folder / name}"')
            listen = [f'control_plane = "{self._bound(name, "control")}"']
        else:
            listen = [
                f'frontend = "{self._bound(name, "front")}"',
                f'ready = "{self._bound(name, "ready")}"',
            ]
        return "\n".join([*lines, "[listen]", *listen, "[bounds]", "grace_s = 6", ""])

    def _launch_command(self, _name: str, command: list[str]) -> list[str]:
        """Return the command that starts the program of a box; subclasses wrap it."""
        return command


def play(scenario: Callable[[PlatformSystem], Awaitable[None]], folder: Path, **sizes: Any) -> None:
    """Run *scenario* on a new system; fail if any task ran on two endpoints at once."""

    async def run() -> None:
        async with PlatformSystem(folder, **sizes) as system:
            await scenario(system)
            assert not system.sightings.doubled

    asyncio.run(run())
