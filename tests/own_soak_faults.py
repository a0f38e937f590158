# SPDX-License-Identifier: MIT
"""Overlapping faults of boxes, links and endpoints for the soak of the daemon's own interface.

All are injected from outside the programs: signals, the fault proxy and endpoint stand-in behavior.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Iterable

from own_soak_endpoint import AnswerMode
from own_soak_system import SoakSystem
from proxy import Link

# Range of the interval between the starts of two faults.
_INTERVAL_S = (0.05, 1.5)
# Range of a fault's duration; may exceed a job's deadline.
_DURATION_S = (0.3, 4.0)
# Range of a killed box's downtime.
_DOWNTIME_S = (0.0, 1.0)
# Range of the interval between two kills of all boxes.
_RESTART_ALL_INTERVAL_S = (0.5, 3.0)
# Range of a link's delay.
_LINK_DELAY_S = (0.01, 0.4)
# Response bytes after which a connection to an endpoint is cut.
_REPLY_BYTES = (20, 1_500)
# Covers job deadlines, the last heartbeats, closing connections and a hand-over to a frozen box.
_STOP_TIMEOUT_S = 20.0


class Faults:
    """The faults of one soak run.

    Args:
        system: The system under test.
        rng: Random generator for the faults.
        kills_all: Whether all boxes may be killed at once, after which none votes for a while.
    """

    def __init__(self, system: SoakSystem, rng: random.Random, kills_all: bool) -> None:
        self._system = system
        self._rng = rng
        self.violations: list[str] = []
        self.log: list[str] = []
        self._kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_box,
            self._kill_box,
            self._stop_box,
            self._stop_box,
            self._freeze_box,
            self._freeze_box,
            self._freeze_boxes,
            self._cut_one_way,
            self._cut_both_ways,
            self._cut_zone,
            self._freeze_links,
            self._delay_links,
            self._delay_all_links,
            self._silence_connections,
            self._cut_endpoint,
            self._freeze_endpoint_link,
            self._shorten_answers,
            self._answer_otherwise,
            self._refuse,
            self._kill_endpoints,
            self._freeze_endpoints,
        ]
        if kills_all:
            self._kinds += [self._kill_all_boxes_twice] * 2

    async def run(self, faults: int) -> None:
        """Start *faults* faults at random intervals; return when all have ended."""
        tasks = []
        for _ in range(faults):
            kind = self._rng.choice(self._kinds)
            self.log.append(kind.__name__.strip("_"))
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))
        await asyncio.gather(*tasks)

    async def _wait_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(*_DURATION_S))

    def _draw_box(self) -> str:
        return self._rng.choice(self._system.boxes)

    def _draw_zone(self) -> str:
        return self._rng.choice(self._system.zones)

    def _draw_endpoint(self) -> str:
        return self._rng.choice(self._system.endpoints).name

    # Boxes.

    async def _kill_box(self) -> None:
        await self._kill(self._draw_box(), self._rng.uniform(*_DOWNTIME_S))

    async def _kill(self, box: str, downtime_s: float) -> None:
        async with self._system.locks[box]:
            await asyncio.to_thread(self._system.kill, box)
            await asyncio.sleep(downtime_s)
            self._system.start_box(box)

    async def _kill_all_boxes_twice(self) -> None:
        for pause_s in (self._rng.uniform(*_RESTART_ALL_INTERVAL_S), 0.0):
            await asyncio.gather(*(self._kill(box, 0.1) for box in self._system.boxes))
            await asyncio.sleep(pause_s)

    async def _stop_box(self) -> None:
        """Send SIGTERM to a box; it must exit in time."""
        box = self._draw_box()
        async with self._system.locks[box]:
            self._system.signal(box, signal.SIGTERM)
            process = self._system.processes[box]
            try:
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    while process.poll() is None:
                        await asyncio.sleep(0.05)
            except TimeoutError:
                self.violations.append(
                    f"{box} did not stop within {_STOP_TIMEOUT_S} s: see its log"
                )
                await asyncio.to_thread(self._system.kill, box)
            if process.returncode not in (0, -signal.SIGTERM, -signal.SIGKILL):
                self.violations.append(f"{box} exited with {process.returncode} after SIGTERM")
            await asyncio.sleep(self._rng.uniform(*_DOWNTIME_S))
            self._system.start_box(box)

    async def _freeze_box(self) -> None:
        box = self._draw_box()
        await self._freeze(box, box)

    async def _freeze_boxes(self) -> None:
        boxes = self._rng.sample(self._system.boxes, 2)
        await asyncio.gather(*(self._freeze(box, box) for box in boxes))

    async def _freeze(self, lock_name: str, process: str) -> None:
        async with self._system.locks[lock_name]:
            self._system.signal(process, signal.SIGSTOP)
            await self._wait_duration()
            self._system.signal(process, signal.SIGCONT)

    # Links between boxes.

    async def _cut_one_way(self) -> None:
        """Cut the links from a box to half of the boxes, but not the reverse ones."""
        box = self._draw_box()
        others = set(self._rng.sample(self._system.boxes, len(self._system.boxes) // 2))
        await self._set_links("cut", lambda one, other: one == box and other in others)

    async def _cut_both_ways(self) -> None:
        box = self._draw_box()
        others = set(self._rng.sample(self._system.boxes, len(self._system.boxes) // 2))
        await self._set_links(
            "cut",
            lambda one, other: box in (one, other) and (one in others or other in others),
        )

    async def _cut_zone(self) -> None:
        zone = self._draw_zone()
        await self._set_links("cut", lambda one, other: (one[0] == zone) != (other[0] == zone))

    async def _freeze_links(self) -> None:
        """Hold the data that a box sends or, half of the time, also what it receives."""
        box = self._draw_box()
        if self._rng.random() < 0.5:
            await self._set_links("freeze", lambda one, _other: one == box)
        else:
            await self._set_links("freeze", lambda one, other: box in (one, other))

    async def _set_links(self, mode: str, chosen: Callable[[str, str], bool]) -> None:
        keys = {key for key in self._system.box_links if chosen(*key)}
        self._system.proxy.set_mode(mode, lambda one, other: (one, other) in keys)
        await self._wait_duration()
        self._system.proxy.set_mode("pass", lambda one, other: (one, other) in keys)

    async def _delay_links(self) -> None:
        box = self._draw_box()
        links = [link for key, link in self._system.box_links.items() if box in key]
        await self._delay(links, self._rng.uniform(*_LINK_DELAY_S))

    async def _delay_all_links(self) -> None:
        await self._delay(self._system.proxy.links.values(), self._rng.uniform(*_LINK_DELAY_S) / 2)

    async def _delay(self, links: Iterable[Link], link_delay_s: float) -> None:
        chosen = list(links)
        for link in chosen:
            link.delay_s = link_delay_s
        await self._wait_duration()
        for link in chosen:
            link.delay_s = 0.0

    async def _silence_connections(self) -> None:
        """Silence the open connections of a box or of a zone's endpoints; new ones work."""
        name = self._rng.choice([*self._system.boxes, *self._system.zones])
        for (one, other), link in self._system.proxy.links.items():
            if name in (one, other, other[0]):
                link.silenced_up_to = link.opened

    # Endpoints, and the links to them.

    async def _cut_endpoint(self) -> None:
        await self._set_endpoint_link("cut")

    async def _freeze_endpoint_link(self) -> None:
        await self._set_endpoint_link("freeze")

    async def _set_endpoint_link(self, mode: str) -> None:
        key = self._rng.choice(list(self._system.endpoint_links))
        self._system.proxy.set_mode(mode, lambda one, other: (one, other) == key)
        await self._wait_duration()
        self._system.proxy.set_mode("pass", lambda one, other: (one, other) == key)

    async def _shorten_answers(self) -> None:
        """Cut connections to an endpoint in the middle of a response."""
        link = self._rng.choice(list(self._system.endpoint_links.values()))
        link.reply_bytes_max = self._rng.randint(*_REPLY_BYTES)
        await self._wait_duration()
        link.reply_bytes_max = 0

    async def _answer_otherwise(self) -> None:
        """Make an endpoint's responses truncated or errors, with or without a start."""
        answer_mode = self._rng.choice([one for one in AnswerMode if one is not AnswerMode.NORMAL])
        await self._control(
            self._draw_endpoint(), {"answers": answer_mode}, {"answers": AnswerMode.NORMAL}
        )

    async def _refuse(self) -> None:
        """Make one endpoint or all refuse tasks, reporting them as not run."""
        names = [spec.name for spec in self._system.endpoints]
        chosen = names if self._rng.random() < 0.5 else [self._draw_endpoint()]
        await asyncio.gather(
            *(self._control(name, {"refuse": True}, {"refuse": False}) for name in chosen)
        )

    async def _control(
        self, name: str, fault: dict[str, object], normal: dict[str, object]
    ) -> None:
        async with self._system.locks[name[0]]:
            await asyncio.to_thread(self._system.control_endpoint, name, **fault)
            await self._wait_duration()
            await asyncio.to_thread(self._system.control_endpoint, name, **normal)

    async def _kill_endpoints(self) -> None:
        zone = self._draw_zone()
        async with self._system.locks[zone]:
            await asyncio.to_thread(self._system.kill, f"workers-{zone}")
            await self._wait_duration()
            await asyncio.to_thread(self._system.start_endpoints_of, zone)

    async def _freeze_endpoints(self) -> None:
        zone = self._draw_zone()
        await self._freeze(zone, f"workers-{zone}")
