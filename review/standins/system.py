"""Starts the project's own programs as the deploy file does, with the settings of DEPLOY.md."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
from pathlib import Path

from http1 import call
from record import Record
from worker import SERVICE, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST, PREFIX = "nony24.example", "/lohu930/"
_START_S = 25.0
# As the bench: a program that has ended is started again after a short delay.
RESTART_DELAY_S = 0.3
GRACE_S = 6.0

_BOUNDS = f"""[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = {int(GRACE_S)}
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
retransmit_ms = 1300
fencing_enforced = true
"""


class CantRunError(Exception):
    """The system did not come up."""


class System:
    """A small deployment: core and edge machines and workers in some zones.

    Args:
        folder: A temporary folder.
        record: The record.
        zones: The zone of each core machine.
        edges: The zone of each edge machine.
        workers: The zone of each worker.
    """

    def __init__(self, folder: Path, record: Record, zones: str, edges: str, workers: str) -> None:
        self._folder = folder
        self.record = record
        self.timeout_ms = 1500
        subnet = _free_subnet()
        self._ports = {name: _free_port() for name in ("peer", "front", "ready", "control")}
        self.core = [f"c{number}" for number in range(len(zones))]
        self.edge = [f"e{number}" for number in range(len(edges))]
        names = [*self.core, *self.edge]
        self._ips = {name: f"{subnet}.{number + 1}" for number, name in enumerate(names)}
        self.zones = dict(zip(names, [*zones, *edges], strict=True))
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        controllers = [self.address(name, "control") for name in self.core]
        self.workers = [
            Worker(
                f"i-w{number}", f"{subnet}.{100 + number}", zone, f"r-{zone}", controllers, record
            )
            for number, zone in enumerate(workers)
        ]

    def address(self, name: str, listener: str) -> str:
        """Return an ``IP:port`` of a machine."""
        return f"{self._ips[name]}:{self._ports[listener]}"

    async def start_all(self) -> None:
        """Start everything, and wait until each edge machine is ready and serves."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CantRunError("target/deps is missing: run the build of the deploy file")
        for name in self._ips:
            await self.start(name, is_first=True)
        for worker in self.workers:
            await worker.start()
        await self._until(lambda: self.configure(1), "the configuration is acknowledged")
        for name in self.edge:
            await self._until(lambda name=name: self.is_ready(name), f"{name} is ready")
        # Workers that have reported are polled and their clocks known; traffic starts later, as on
        # the users' platform.
        await asyncio.sleep(3.0)
        self.record.note("the system is up")

    async def stop_all(self) -> None:
        """End every process that was started, and the workers."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for worker in self.workers:
            await worker.stop()

    async def start(self, name: str, is_first: bool = False) -> None:
        """Start the program of a machine."""
        path = self._folder / f"{name}.toml"
        path.write_text(self._settings(name, is_first))
        program = "controller" if name in self.core else "entry"
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables["FOLDLOOM_SETTINGS"] = str(path)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                "python3", f"platform/{program}.py", cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    async def configure(self, version: int) -> bool:
        """Send the configuration to the first core machine; return whether it is acknowledged."""
        route = {
            "name": "r-3hwrr6x",
            "host": HOST,
            "path_prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout_ms": self.timeout_ms,
            "target_latency_ms": 60,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 3,
            "extension": 1.6,
        }
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "enforces_capacity": True,
            "headroom": False,
        }
        document = {"version": version, "routes": [route], "services": [service]}
        at = self.address(self.core[0], "control")
        return (await call(at, "PUT", "/foldloom/config", document)).status == 200

    async def is_ready(self, name: str) -> bool:
        """Return whether an edge machine says that it is ready."""
        at = self.address(name, "ready")
        return (await call(at, "GET", "/foldloom/readyz", timeout_s=0.9)).status == 200

    async def _until(self, condition, what: str) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _START_S
        while loop.time() < end_s:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CantRunError(f"not within {_START_S:.0f} s: {what}")

    def _settings(self, name: str, is_first: bool) -> str:
        port = self._ports["peer"]
        seeds = ", ".join(f'"{self.address(core, "control")}"' for core in self.core[:3])
        lines = [
            f'node_name = "{name}"',
            f'ip = "{self._ips[name]}"',
            f'zone = "{self.zones[name]}"',
            'region = "r"',
            f"internal_ports = [{port}, {port}]",
            f"seed_nodes = [{seeds}]",
            f"bootstrap = {str(is_first).lower()}",
            "heartbeat_ms = 1500",
            'config_mode = "highest"',
            'commands = "invoke"',
        ]
        if name in self.core:
            data = self._folder / name
            data.mkdir(exist_ok=True)
            lines += [f'data_dir = "{data}"', 'serves = ["control"]', "[listen]"]
            lines += [f'control_plane = "{self.address(name, "control")}"']
        else:
            lines += ['serves = ["edge"]', "[listen]"]
            lines += [f'frontend = "{self.address(name, "front")}"']
            lines += [f'ready = "{self.address(name, "ready")}"']
        return "\n".join([*lines, _BOUNDS])


def _free_subnet() -> str:
    """Return the first three octets of a loopback subnet of which the first hosts can be bound."""
    while True:
        subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{subnet}.1", 0))
            except OSError:
                continue
        return subnet


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
