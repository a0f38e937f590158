# SPDX-License-Identifier: MIT
"""An event loop whose time passes only while nothing is left to do."""

from __future__ import annotations

import asyncio
import contextvars
import random
import selectors
import time
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any
from unittest.mock import patch

from foldloom.seed_discovery.owners.elector import Elector


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that moves its clock forward where another one would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; let *timeout* seconds pass if nothing is."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("every task waits, and no timer is set")
        if not ready and timeout is not None:
            self.now_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on a simulated clock, in seconds."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the simulated time."""
        return self._virtual_selector.now_s

    def monotonic(self) -> float:
        """Return the same, under the name that :mod:`time` has for it."""
        return self._virtual_selector.now_s

    def clock_gettime(self, _clock: int) -> float:
        """Return what any steady clock of :mod:`time` shows: nothing is suspended here."""
        return self.monotonic()

    def stand_still(self, for_s: float) -> None:
        """Let time pass in which nothing on this loop gets its turn."""
        self._virtual_selector.now_s += for_s


LIFE: contextvars.ContextVar[str] = contextvars.ContextVar("LIFE", default="")
"""The life of a box that a callback belongs to; empty for what stands still with no box."""


class Waking(Enum):
    """What a process handles first that goes on: what has arrived, or the timers that are due.

    An event loop asks its sockets and its timers in one step, so both are due together; which is
    first follows from where it stood still.
    """

    MESSAGES_FIRST = "messages first"
    TIMERS_FIRST = "timers first"
    MIXED = "mixed"


class _LifeCallback:
    """A callback of a box's life, which has its turn only while that does not stand still."""

    __slots__ = ("_args", "_callback", "_loop", "context", "handle", "life")

    def __init__(
        self,
        loop: TurnsLoop,
        context: contextvars.Context,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        self._loop = loop
        self._callback = callback
        self._args = args
        self.context = context
        self.life = context[LIFE]
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        """Have the turn, or wait for it."""
        if self.handle is not None and self.handle.cancelled():
            return
        if not self._loop.hold_if_paused(self):
            self._callback(*self._args)


class _PendingPause:
    """How a life is to stand still: after some more turns, and for how long."""

    __slots__ = ("for_s", "turns_left", "waking")

    def __init__(self, turns_left: int, for_s: float, waking: Waking) -> None:
        self.turns_left = turns_left
        self.for_s = for_s
        self.waking = waking


class TurnsLoop(VirtualTimeLoop):
    """An event loop on which one box's life can stand still while the others go on.

    What belongs to a life is known by the context of its callbacks, which tasks hand on.

    Args:
        rng: Draws the order in which a life that goes on handles what was held back.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self._pending_pauses: dict[str, _PendingPause] = {}
        self._held_callbacks: dict[str, list[_LifeCallback]] = {}
        self._arrived_callbacks: dict[str, list[_LifeCallback]] = {}
        self._reads_left = 0
        self._read_pause_s = 0.0

    def call_soon(
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Have *callback* called in the next turn of its life."""
        context = contextvars.copy_context() if context is None else context
        if not context.get(LIFE, ""):
            return super().call_soon(callback, *args, context=context)
        wrapped = _LifeCallback(self, context, callback, args)
        wrapped.handle = super().call_soon(wrapped, context=context)
        return wrapped.handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Have *callback* called at *when*, or when its life goes on after that."""
        context = contextvars.copy_context() if context is None else context
        if not context.get(LIFE, ""):
            return super().call_at(when, callback, *args, context=context)
        wrapped = _LifeCallback(self, context, callback, args)
        timer = super().call_at(when, wrapped, context=context)
        wrapped.handle = timer
        return timer

    def monotonic(self) -> float:
        """Return the time; let some pass at the read that :meth:`stand_still_at_read` names."""
        if self._reads_left and LIFE.get():
            self._reads_left -= 1
            if not self._reads_left:
                self.stand_still(self._read_pause_s)
        return super().monotonic()

    def stand_still_at_read(self, reads: int, for_s: float) -> None:
        """Let everything stand still for *for_s* within a turn: when a box next reads its clock.

        Args:
            reads: At which of its coming reads.
            for_s: How long.
        """
        self._reads_left = reads
        self._read_pause_s = for_s

    def deliver(
        self, context: contextvars.Context, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Have a life handle what has arrived for it from outside."""
        arrived_callbacks = self._arrived_callbacks.get(context[LIFE])
        if arrived_callbacks is None:
            self.call_soon(callback, *args, context=context)
        else:
            arrived_callbacks.append(_LifeCallback(self, context, callback, args))

    def stop_life(self, life: str, after_callbacks: int, for_s: float, waking: Waking) -> None:
        """Let *life* stand still for *for_s* once it has had some more turns."""
        if life not in self._held_callbacks:
            self._pending_pauses[life] = _PendingPause(after_callbacks, for_s, waking)

    def end_life(self, life: str) -> None:
        """Drop what has arrived for *life*, and let its tasks end: they reach nobody any more."""
        self._pending_pauses.pop(life, None)
        self._arrived_callbacks.pop(life, None)
        self._release(self._held_callbacks.pop(life, []))

    def is_paused(self, life: str) -> bool:
        """Return whether *life* stands still now."""
        return life in self._held_callbacks

    def hold_if_paused(self, callback: _LifeCallback) -> bool:
        """Return whether *turn* has to wait, and keep it then."""
        pause = self._pending_pauses.get(callback.life)
        if pause is not None:
            pause.turns_left -= 1
            if pause.turns_left < 0:
                self._begin_pause(callback.life, pause)
        held_callbacks = self._held_callbacks.get(callback.life)
        if held_callbacks is None:
            return False
        held_callbacks.append(callback)
        return True

    def _begin_pause(self, life: str, pause: _PendingPause) -> None:
        del self._pending_pauses[life]
        self._held_callbacks[life] = []
        self._arrived_callbacks[life] = []
        outer_context = contextvars.Context()
        self.call_later(pause.for_s, self._go_on, life, pause.waking, context=outer_context)

    def _go_on(self, life: str, waking: Waking) -> None:
        held_callbacks = self._held_callbacks.pop(life, None)
        if held_callbacks is None:
            # It has ended meanwhile.
            return
        arrived_callbacks = self._arrived_callbacks.pop(life)
        if waking is Waking.TIMERS_FIRST:
            self._release([*held_callbacks, *arrived_callbacks])
        elif waking is Waking.MIXED:
            self._release(self._merged(held_callbacks, arrived_callbacks))
        else:
            self._release(arrived_callbacks)
            # After what follows from the messages at once, as the loop asks its timers only then.
            super().call_soon(self._release, held_callbacks, context=contextvars.Context())

    def _release(self, callbacks: list[_LifeCallback]) -> None:
        for callback in callbacks:
            super().call_soon(callback, context=callback.context)

    def _merged(
        self, first: list[_LifeCallback], second: list[_LifeCallback]
    ) -> list[_LifeCallback]:
        """Return both in an order that is drawn and keeps that of each."""
        is_from_first = [True] * len(first) + [False] * len(second)
        self._rng.shuffle(is_from_first)
        first_items, second_items = iter(first), iter(second)
        return [next(first_items) if is_first else next(second_items) for is_first in is_from_first]


def run_in_virtual_time(play: Coroutine[Any, Any, Any], loop: VirtualTimeLoop) -> Any:
    """Run *play* on *loop*; the product's monotonic clock and time of day are the loop's."""
    with patch("foldloom.clock.time", loop), patch(f"{Elector.__module__}.time", loop):
        try:
            return loop.run_until_complete(play)
        finally:
            _end_tasks(loop)
            loop.close()


def _end_tasks(loop: VirtualTimeLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    if not tasks:
        return
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
