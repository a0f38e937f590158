# SPDX-License-Identifier: MIT
"""Connection faults between boxes, callers, endpoints and controllers.

They overlap each other and the other faults. A cut either resets connections or holds all data
until it heals, as a partition that loses packets does.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from link_proxy import Fault, Kind, Link, LinkFilter
from proxied_system import ProxiedSystem
from soak_faults import Faults

# Bounds of a link's delay.
_DELAY_MIN_S = 0.02
_DELAY_MAX_S = 0.6
# Range of delay changes, resets or cuts in one fault.
_REPEATS = (1, 5)
# Range of the interval between resets.
_RESET_INTERVAL_S = (0.05, 0.8)
# A flapping link's cuts and the intervals between them: a session grant (400 ms) expires in some
# cuts and is renewed in between.
_FLAP_CUT_S = (0.2, 0.9)
_FLAP_HEALED_S = (0.02, 0.4)
# Time for a controller to catch up before another one is disturbed.
_CATCH_UP_S = 4.0


def _one_way(senders: Iterable[str], receivers: Iterable[str]) -> LinkFilter:
    """Select the peer connections that *senders* open to *receivers*."""
    sender_names, receiver_names = frozenset(senders), frozenset(receivers)
    return lambda link: (
        link.kind is Kind.PEER
        and link.sender in sender_names
        and link.receiver in receiver_names - {link.sender}
    )


def _both_ways(boxes: Iterable[str], others: Iterable[str]) -> LinkFilter:
    """Select the peer connections between two sets of boxes, in both directions."""
    outbound, inbound = _one_way(boxes, others), _one_way(others, boxes)
    return lambda link: outbound(link) or inbound(link)


def _between_boxes(link: Link) -> bool:
    return link.kind is Kind.PEER


class LinkFaults(Faults):
    """The faults of one soak run, connection faults included.

    Args:
        system: The system under test.
        rng: Random generator for the faults.
    """

    def __init__(self, system: ProxiedSystem, rng: random.Random) -> None:
        super().__init__(system, rng)
        self._proxy = system.proxy
        self._boxes = [*system.controllers, *system.entries]
        self._kinds += [
            self._delay_box,
            self._delay_all_boxes,
            self._delay_endpoints,
            self._delay_callers,
            self._reset_box,
            self._reset_all_boxes,
            self._reset_callers,
            self._reset_endpoints,
            self._silence_box,
            self._silence_all_boxes,
            self._silence_callers,
            self._stall_box,
            self._stall_all_boxes,
            self._stall_endpoints,
            self._cut_pair_one_way,
            self._cut_box_one_way,
            self._cut_box,
            self._cut_entries_of_zone,
            self._cut_zone,
            self._cut_from_controllers,
            self._cut_controller,
            self._cut_endpoints_of_zone,
            self._lose_answers_of_endpoints,
            self._lose_answers_to_callers,
            self._delay_control,
            self._silence_control,
            self._lose_answers_of_control,
            self._flap_box,
            self._flap_box_one_way,
        ]

    async def run(self, faults: int, is_over: asyncio.Event) -> None:
        """Run the faults and print their kinds; set *is_over* when all have ended."""
        await super().run(faults, is_over)
        # Printed here, since a run that does not recover fails before its summary.
        print(f"faults: {', '.join(self.log)}")

    # Delays.

    async def _delay_box(self) -> None:
        await self._delay(self._links_of_box(self._draw_entry()))

    async def _delay_all_boxes(self) -> None:
        await self._delay(_between_boxes)

    async def _delay_endpoints(self) -> None:
        await self._delay(self._links_to(Kind.RUNS, self._draw_endpoints()))

    async def _delay_callers(self) -> None:
        await self._delay(self._links_to(Kind.CALLERS, [self._draw_entry()]))

    async def _delay(self, link_filter: LinkFilter) -> None:
        """Delay the links, changing the delay range a few times."""
        for _ in range(self._rng.randint(*_REPEATS)):
            delay_max_s = self._rng.uniform(_DELAY_MIN_S, _DELAY_MAX_S)
            with self._proxy.inject(Fault(link_filter, delay_s=(_DELAY_MIN_S, delay_max_s))):
                await asyncio.sleep(self._draw_duration_s() / 2)

    async def _delay_control(self) -> None:
        """Delay endpoint heartbeats and operator calls at one controller."""
        await self._delay(self._links_to(Kind.CONTROL, [self._draw_controller()]))

    # Resets.

    async def _reset_box(self) -> None:
        await self._reset(self._links_of_box(self._draw_entry()))

    async def _reset_all_boxes(self) -> None:
        await self._reset(_between_boxes)

    async def _reset_callers(self) -> None:
        await self._reset(self._links_to(Kind.CALLERS, [self._draw_entry()]))

    async def _reset_endpoints(self) -> None:
        await self._reset(self._links_to(Kind.RUNS, self._draw_endpoints()))

    async def _reset(self, link_filter: LinkFilter) -> None:
        for _ in range(self._rng.randint(*_REPEATS)):
            self._proxy.reset(link_filter)
            await asyncio.sleep(self._rng.uniform(*_RESET_INTERVAL_S))

    # Open connections that stay silent; new ones work.

    async def _silence_box(self) -> None:
        self._proxy.silence(self._links_of_box(self._draw_entry()))

    async def _silence_all_boxes(self) -> None:
        self._proxy.silence(_between_boxes)

    async def _silence_callers(self) -> None:
        self._proxy.silence(self._links_to(Kind.CALLERS, [self._draw_entry()]))

    async def _silence_control(self) -> None:
        self._proxy.silence(self._links_to(Kind.CONTROL, [self._draw_controller()]))

    # Open connections that stall for a while; new ones work.

    async def _stall_box(self) -> None:
        await self._stall(self._links_of_box(self._draw_entry()))

    async def _stall_all_boxes(self) -> None:
        await self._stall(_between_boxes)

    async def _stall_endpoints(self) -> None:
        await self._stall(self._links_to(Kind.RUNS, self._draw_endpoints()))

    async def _stall(self, link_filter: LinkFilter) -> None:
        with self._proxy.stalled(link_filter):
            await asyncio.sleep(self._draw_duration_s())

    # Cuts.

    async def _cut_pair_one_way(self) -> None:
        sender, receiver = self._rng.sample(self._system.entries, 2)
        await self._cut(_one_way([sender], [receiver]))

    async def _cut_box_one_way(self) -> None:
        await self._cut(self._links_of_box_one_way(self._draw_entry()))

    async def _cut_box(self) -> None:
        """Cut an entry box off from all other boxes and, half of the time, its callers."""
        name = self._draw_entry()
        boxes, callers = self._links_of_box(name), self._links_to(Kind.CALLERS, [name])
        includes_callers = self._rng.random() < 0.5
        await self._cut(lambda link: boxes(link) or (includes_callers and callers(link)))

    async def _cut_entries_of_zone(self) -> None:
        """Cut a zone's entry boxes off from those of other zones."""
        zone = self._draw_zone()
        inside = [one for one in self._system.entries if self._system.zone_of(one) == zone]
        outside = [one for one in self._system.entries if one not in inside]
        await self._cut(_both_ways(inside, outside))

    async def _cut_zone(self) -> None:
        """Cut a zone's boxes, controllers included, off from all others."""
        zone = self._draw_zone()
        inside = [one for one in self._boxes if self._system.zone_of(one) == zone]
        outside = [one for one in self._boxes if one not in inside]
        await self._cut_controllers(_both_ways(inside, outside))

    async def _cut_from_controllers(self) -> None:
        """Cut an entry box off from all controllers, in one or both directions."""
        name, controllers = [self._draw_entry()], self._system.controllers
        filters = [_one_way(name, controllers), _one_way(controllers, name)]
        await self._cut(self._rng.choice([*filters, _both_ways(name, controllers)]))

    async def _cut_controller(self) -> None:
        """Cut a controller off from all boxes, in one or both directions."""
        name = self._draw_controller()
        filters = [self._links_of_box_one_way(name), self._links_of_box(name)]
        await self._cut_controllers(self._rng.choice(filters))

    async def _cut_controllers(self, link_filter: LinkFilter) -> None:
        if self._controller_lock.locked():
            return
        async with self._controller_lock:
            await self._cut(link_filter)
            await asyncio.sleep(_CATCH_UP_S)

    async def _cut_endpoints_of_zone(self) -> None:
        """Cut all run connections to a zone's endpoints."""
        zone = self._draw_zone()
        await self._cut(lambda link: link.kind is Kind.RUNS and self._zone_of(link) == zone)

    async def _lose_answers_of_endpoints(self) -> None:
        """Requests arrive and are executed; responses are held until the fault ends."""
        await self._hold_answers(self._links_to(Kind.RUNS, self._draw_endpoints()))

    async def _lose_answers_to_callers(self) -> None:
        await self._hold_answers(self._links_to(Kind.CALLERS, [self._draw_entry()]))

    async def _lose_answers_of_control(self) -> None:
        await self._hold_answers(self._links_to(Kind.CONTROL, [self._draw_controller()]))

    async def _hold_answers(self, link_filter: LinkFilter) -> None:
        with self._proxy.inject(Fault(link_filter, holds_responses=True)):
            await asyncio.sleep(self._draw_duration_s())

    async def _flap_box(self) -> None:
        await self._flap(self._links_of_box(self._draw_entry()))

    async def _flap_box_one_way(self) -> None:
        await self._flap(self._links_of_box_one_way(self._draw_entry()))

    async def _flap(self, link_filter: LinkFilter) -> None:
        """Cut the links a few times at short intervals."""
        for _ in range(self._rng.randint(*_REPEATS)):
            await self._cut(link_filter, self._rng.uniform(*_FLAP_CUT_S))
            await asyncio.sleep(self._rng.uniform(*_FLAP_HEALED_S))

    async def _cut(self, link_filter: LinkFilter, lasts_s: float = 0.0) -> None:
        if self._rng.random() < 0.5:
            fault = Fault(link_filter, is_refusing=True)
        else:
            fault = Fault(link_filter, holds_requests=True, holds_responses=True)
        with self._proxy.inject(fault):
            await asyncio.sleep(lasts_s or self._draw_duration_s())

    # Link filters and random targets.

    def _links_of_box(self, name: str) -> LinkFilter:
        return _both_ways([name], self._boxes)

    def _links_of_box_one_way(self, name: str) -> LinkFilter:
        filters = [_one_way([name], self._boxes), _one_way(self._boxes, [name])]
        return self._rng.choice(filters)

    def _links_to(self, kind: Kind, receivers: list[str]) -> LinkFilter:
        return lambda link: link.kind is kind and link.receiver in receivers

    def _draw_controller(self) -> str:
        return self._rng.choice(self._system.controllers)

    def _draw_endpoints(self) -> list[str]:
        """Return a random subset of the endpoints' base names, under which the proxy listens."""
        base_names = self._endpoint_base_names()
        return self._rng.sample(base_names, self._rng.randint(1, len(base_names)))

    def _endpoint_base_names(self) -> list[str]:
        return sorted({one.name.partition("-")[0] for one in self._system.endpoints})

    def _draw_zone(self) -> str:
        return self._rng.choice(sorted({self._system.zone_of(one) for one in self._boxes}))

    def _zone_of(self, link: Link) -> str:
        return self._system.zone_of(link.receiver)
