# SPDX-License-Identifier: MIT
"""Faults of boxes, links and endpoints of the own interface, in series that overlap.

All come from outside the programs: signals, the proxy between them, what the stand-ins answer.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Iterable

from own_soak_endpoint import AnswerMode
from own_soak_system import SoakSystem
from proxy import Link

# Seconds between two faults of a series.
_INTERVAL_S = (0.05, 1.5)
# Seconds that a fault lasts; longer than a deadline at times.
_DURATION_S = (0.3, 4.0)
# Seconds that a box is gone.
_DOWNTIME_S = (0.0, 1.0)
# Seconds between two losses of all boxes.
_RESTART_ALL_INTERVAL_S = (0.5, 3.0)
# Seconds that each message of a link is late.
_LINK_DELAY_S = (0.01, 0.4)
# Bytes of all answers of an endpoint's connection, of which the rest is cut.
_REPLY_BYTES = (20, 1_500)
# Seconds that a box may take to stop: its jobs' deadlines, its last heartbeats, its connections,
# and a handing over to a box that stands still.
_STOP_TIMEOUT_S = 20.0


class Faults:
    """The faults of one run.

    Args:
        system: The programs.
        rng: Draws them.
        kills_all: Whether all boxes may be lost at once, after which none votes for a while.
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
        """Begin so many faults one after the other; return when all are over."""
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
        """Have a box stop as planned; it must end by itself."""
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
                self.violations.append(f"{box} ended with {process.returncode} when it was stopped")
            await asyncio.sleep(self._rng.uniform(*_DOWNTIME_S))
            self._system.start_box(box)

    async def _freeze_box(self) -> None:
        box = self._draw_box()
        await self._freeze(box, box)

    async def _freeze_boxes(self) -> None:
        boxes = self._rng.sample(self._system.boxes, 2)
        await asyncio.gather(*(self._freeze(box, box) for box in boxes))

    async def _freeze(self, turn: str, process: str) -> None:
        async with self._system.locks[turn]:
            self._system.signal(process, signal.SIGSTOP)
            await self._wait_duration()
            self._system.signal(process, signal.SIGCONT)

    # Links between boxes.

    async def _cut_one_way(self) -> None:
        """A box reaches some others no more; they reach it."""
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
        """What a box sends is taken and arrives late, one way or both."""
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

    async def _delay(self, links: Iterable[Link], late_s: float) -> None:
        chosen = list(links)
        for link in chosen:
            link.delay_s = late_s
        await self._wait_duration()
        for link in chosen:
            link.delay_s = 0.0

    async def _silence_connections(self) -> None:
        """Open connections of a box or an endpoint are silent for good; new ones work."""
        name = self._rng.choice([*self._system.boxes, *self._system.zones])
        for (one, other), link in self._system.proxy.links.items():
            if name in (one, other, other[0]):
                link.silent_up_to = link.opened

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
        """Connections to an endpoint end in the middle of an answer."""
        link = self._rng.choice(list(self._system.endpoint_links.values()))
        link.reply_bytes_max = self._rng.randint(*_REPLY_BYTES)
        await self._wait_duration()
        link.reply_bytes_max = 0

    async def _answer_otherwise(self) -> None:
        """An endpoint's answers are cut short or errors, after or without a start."""
        answer_mode = self._rng.choice([one for one in AnswerMode if one is not AnswerMode.USUAL])
        await self._control(
            self._draw_endpoint(), {"answers": answer_mode}, {"answers": AnswerMode.USUAL}
        )

    async def _refuse(self) -> None:
        """One endpoint or all refuse, and say so."""
        names = [spec.name for spec in self._system.endpoints]
        chosen = names if self._rng.random() < 0.5 else [self._draw_endpoint()]
        await asyncio.gather(
            *(self._control(name, {"refuse": True}, {"refuse": False}) for name in chosen)
        )

    async def _control(self, name: str, fault: dict[str, object], usual: dict[str, object]) -> None:
        async with self._system.locks[name[0]]:
            await asyncio.to_thread(self._system.control_endpoint, name, **fault)
            await self._wait_duration()
            await asyncio.to_thread(self._system.control_endpoint, name, **usual)

    async def _kill_endpoints(self) -> None:
        zone = self._draw_zone()
        async with self._system.locks[zone]:
            await asyncio.to_thread(self._system.kill, f"workers-{zone}")
            await self._wait_duration()
            await asyncio.to_thread(self._system.start_endpoints_of, zone)

    async def _freeze_endpoints(self) -> None:
        zone = self._draw_zone()
        await self._freeze(zone, f"workers-{zone}")
