"""A stand-in of a worker, as PROTOCOL.md describes it under "Running tasks".

A task's ``spec`` is JSON: ``ms`` is its work, ``cpu`` what it asks for. The worker guards its
capacity, keeps the highest fencing token, ends all its runs when the time that it was given is
over, and refuses a run that was stopped or ended before.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from http1 import Request, call, encode_response, read_request
from record import Record

SERVICE = "desk-svc"
CAPACITY = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
_HOLD_MAX_MS = 1_000
_ENDS_AT_ONCE = 500


class Interval(NamedTuple):
    """One run of a task on a worker that was up, by the record's clock in seconds."""

    task: str
    run: int
    worker: str
    began_s: float
    ended_s: float
    how: str


class _Run:
    def __init__(self, number: int, began_s: float, cpu: int) -> None:
        self.number = number
        self.began_s = began_s
        self.cpu = cpu
        self.timer: asyncio.TimerHandle | None = None


Interceptor = Callable[["Worker", Request, asyncio.StreamWriter], Awaitable[bool]]


class Worker:
    """One life of a worker.

    Args:
        name: Its id.
        host: The address that it listens at.
        zone: Its zone.
        rack: Its rack's label.
        controllers: The ``control_plane`` addresses.
        record: The record.
        heartbeat_s: Interval of its heartbeats.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        rack: str,
        controllers: list[str],
        record: Record,
        heartbeat_s: float = 1.5,
    ) -> None:
        self.name = name
        self.zone = zone
        self.intervals: list[Interval] = []
        self.started_jobs: set[str] = set()
        # Returns whether it has dealt with a request, which then gets no answer.
        self.interceptor: Interceptor | None = None
        self.is_cut = False
        self._host = host
        self._port = 0
        self._rack = rack
        self._controllers = controllers
        self._record = record
        self._heartbeat_s = heartbeat_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._active: dict[str, _Run] = {}
        self._closed: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        self._ends = 0
        self._token = 0
        self._until_ms = 0.0
        self._ended = asyncio.Event()
        self._call_seq = 0

    @property
    def address(self) -> str:
        """Its ``IP:port``."""
        return f"{self._host}:{self._port}"

    @property
    def active(self) -> dict[str, int]:
        """The active runs by task."""
        return {task: run.number for task, run in self._active.items()}

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        self._tasks.append(asyncio.create_task(self._watch_lease()))

    async def stop(self) -> None:
        """End this life."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        self._reset_connections()

    def cut(self) -> None:
        """Begin a cut that resets: open connections and new ones are reset; runs go on."""
        self.is_cut = True
        self._record.note(f"{self.name} is cut off, its connections are reset")
        self._reset_connections()

    def heal(self) -> None:
        """End the cut."""
        self.is_cut = False
        self._record.note(f"{self.name} is reached again")

    def clock_ms(self) -> float:
        """Return its steady clock."""
        return time.monotonic() * 1_000

    def execute_start(self, fields: dict[str, Any], until_ms: float | None = None) -> int:
        """Carry out an order to start; return the status. *until_ms* replaces the order's time."""
        status, _ = self._start(fields, until_ms)
        return status

    # Connections.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            _reset(writer)
            return
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self.interceptor is not None and await self.interceptor(self, request, writer):
                    continue
                response = await self._answer(request)
                if self.is_cut:
                    return
                writer.write(response)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _reset_connections(self) -> None:
        for writer in list(self._writers):
            _reset(writer)
        self._writers.clear()

    async def _answer(self, request: Request) -> bytes:
        if request.headers.get("x-foldloom-expected-instance") != self.name:
            return encode_response(421, {"clock_ms": int(self.clock_ms())})
        fields = json.loads(request.body)
        if request.path == "/foldloom/run-start":
            status, reason = self._start(fields)
        elif request.path == "/foldloom/run-stop":
            status, reason = self._stop(fields)
        elif request.path == "/foldloom/hold":
            return await self._hold(fields)
        else:
            return encode_response(404, {})
        answer: dict[str, Any] = {"clock_ms": int(self.clock_ms())}
        return encode_response(status, answer | ({"reason": reason} if reason else {}))

    # Orders.

    def _start(self, fields: dict[str, Any], until_ms: float | None = None) -> tuple[int, str]:
        self._lapse()
        task, number = fields["task"], fields["run_id"]
        until_ms = fields["until_ms"] if until_ms is None else until_ms
        if not self._check_token(fields):
            return 409, "fence"
        if until_ms <= self.clock_ms():
            return 409, "late"
        self._extend(until_ms)
        known = self._active.get(task)
        if known is not None and known.number == number:
            return 200, ""
        if known is not None or number <= self._closed.get(task, 0):
            return 409, "old"
        spec = json.loads(fields["spec"])
        if sum(run.cpu for run in self._active.values()) + spec["cpu"] > CAPACITY["cpu"]:
            return 409, "room"
        run = self._active[task] = _Run(number, self._record.now_s(), spec["cpu"])
        run.timer = asyncio.get_running_loop().call_later(
            spec["ms"] / 1_000, self._end, task, "done"
        )
        self.started_jobs.add(task.partition(".")[0])
        self._record.note(f"{self.name} starts {task} run {number}")
        return 200, ""

    def _stop(self, fields: dict[str, Any]) -> tuple[int, str]:
        self._lapse()
        task, number = fields["task"], fields["run_id"]
        if not self._check_token(fields):
            return 409, "fence"
        known = self._active.get(task)
        if known is not None and known.number == number:
            self._end(task, "stopped")
        self._closed[task] = max(number, self._closed.get(task, 0))
        return 200, ""

    async def _hold(self, fields: dict[str, Any]) -> bytes:
        self._lapse()
        if not self._check_token(fields):
            return encode_response(409, {"clock_ms": int(self.clock_ms()), "reason": "fence"})
        self._extend(fields.get("until_ms", 0))
        self._finished = [end for end in self._finished if end[0] > fields["last_seen"]]
        if not self._finished and fields.get("wait_ms"):
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), min(fields["wait_ms"], 2_000) / 1_000)
            except TimeoutError:
                pass
        active = [[task, run.number, "", 100, run.cpu] for task, run in self._active.items()]
        lists = {"active": active, "finished": self._finished[:_ENDS_AT_ONCE]}
        return encode_response(200, {"clock_ms": int(self.clock_ms()), **lists})

    def _check_token(self, fields: dict[str, Any]) -> bool:
        token = fields.get("fencing_token", 0)
        if token < self._token:
            return False
        self._token = token
        return True

    def _extend(self, until_ms: float) -> None:
        self._until_ms = max(self._until_ms, min(until_ms, self.clock_ms() + _HOLD_MAX_MS))

    def _lapse(self) -> None:
        if self._active and self.clock_ms() >= self._until_ms:
            for task in list(self._active):
                self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run = self._active.pop(task, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._closed[task] = max(run.number, self._closed.get(task, 0))
        self._ends += 1
        self._finished.append([self._ends, task, run.number, how, ""])
        now_s = self._record.now_s()
        self.intervals.append(Interval(task, run.number, self.name, run.began_s, now_s, how))
        self._record.note(f"{self.name} ends {task} run {run.number}: {how}")
        self._ended.set()

    async def _watch_lease(self) -> None:
        while True:
            self._lapse()
            await asyncio.sleep(0.005)

    async def _send_heartbeats(self) -> None:
        while True:
            self._call_seq += 1
            if not self.is_cut:
                await self._heartbeat()
            await asyncio.sleep(self._heartbeat_s)

    async def _heartbeat(self) -> None:
        fields = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": CAPACITY,
            "labels": ["a", self._rack],
            "clock_ms": int(self.clock_ms()),
            "call_seq": self._call_seq,
        }
        # After a failure, the next node is called.
        for turn in range(len(self._controllers)):
            at = self._controllers[(self._call_seq + turn) % len(self._controllers)]
            response = await call(at, "PUT", f"/foldloom/instances/{self.name}", fields)
            if response.status == 200:
                return


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
