# SPDX-License-Identifier: MIT
"""Event loops on a simulated clock, which advances only while no callback is ready."""

from __future__ import annotations

import asyncio
import contextvars
import random
import selectors
import sys
import time
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from enum import Enum
from typing import Any
from unittest.mock import patch

# The modules that read a clock directly. The own interface and the platform can't be imported in
# one process, so only those that a simulation has imported are patched.
_MODULES_WITH_CLOCK = ("foldloom.clock", "foldloom.seed_discovery.owners.elector")


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances its clock instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready keys; if there are none, advance the clock by *timeout* seconds."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("deadlock: every task is waiting and no timer is set")
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
        """Return the simulated time; stands in for :func:`time.monotonic`."""
        return self._virtual_selector.now_s

    def clock_gettime(self, _clock: int) -> float:
        """Return the simulated time for every clock; stands in for :func:`time.clock_gettime`."""
        return self.monotonic()

    def jump_clock(self, for_s: float) -> None:
        """Advance the clock by *for_s* without running callbacks."""
        self._virtual_selector.now_s += for_s


LIFE: contextvars.ContextVar[str] = contextvars.ContextVar("LIFE", default="")
"""Simulated incarnation ("life") of a callback's box; empty for callbacks that no pause affects."""


class Waking(Enum):
    """Order in which a resumed process handles received messages and expired timers.

    An event loop checks sockets and timers in one step; which comes first depends on where in the
    step it was paused.
    """

    MESSAGES_FIRST = "messages first"
    TIMERS_FIRST = "timers first"
    MIXED = "mixed"


class _LifeCallback:
    """A callback of a box's life, held back while that life is paused."""

    __slots__ = ("_args", "_callback", "_loop", "context", "handle", "life")

    def __init__(
        self,
        loop: PausableLoop,
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
        """Run the callback, or hold it back if its life is paused."""
        if self.handle is not None and self.handle.cancelled():
            return
        if not self._loop.hold_if_paused(self):
            self._callback(*self._args)


class _PendingPause:
    """A pause of a life that begins after ``callbacks_left`` more callbacks and lasts ``for_s``."""

    __slots__ = ("callbacks_left", "for_s", "waking")

    def __init__(self, callbacks_left: int, for_s: float, waking: Waking) -> None:
        self.callbacks_left = callbacks_left
        self.for_s = for_s
        self.waking = waking


class PausableLoop(VirtualTimeLoop):
    """An event loop on which one box's life can be paused while the others continue.

    A callback belongs to the life in its context variables, which tasks inherit.

    Args:
        rng: Draws the order of held-back callbacks for :attr:`Waking.MIXED`.
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
        """Schedule *callback*; it is held back while its life is paused."""
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
        """Schedule *callback* at *when*, or when its life resumes after that."""
        context = contextvars.copy_context() if context is None else context
        if not context.get(LIFE, ""):
            return super().call_at(when, callback, *args, context=context)
        wrapped = _LifeCallback(self, context, callback, args)
        timer = super().call_at(when, wrapped, context=context)
        wrapped.handle = timer
        return timer

    def monotonic(self) -> float:
        """Return the time, after the jump that :meth:`jump_clock_at_read` has requested."""
        if self._reads_left and LIFE.get():
            self._reads_left -= 1
            if not self._reads_left:
                self.jump_clock(self._read_pause_s)
        return super().monotonic()

    def jump_clock_at_read(self, reads: int, for_s: float) -> None:
        """Advance the clock by *for_s* within a callback, at a coming clock read of a box.

        Args:
            reads: Number of the read at which the clock jumps, counted from 1 over all boxes.
            for_s: Length of the jump in seconds.
        """
        self._reads_left = reads
        self._read_pause_s = for_s

    def deliver(
        self, context: contextvars.Context, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Run *callback* in a life for a received message, or queue it while the life is paused."""
        arrived_callbacks = self._arrived_callbacks.get(context[LIFE])
        if arrived_callbacks is None:
            self.call_soon(callback, *args, context=context)
        else:
            arrived_callbacks.append(_LifeCallback(self, context, callback, args))

    def pause_life(self, life: str, after_callbacks: int, for_s: float, waking: Waking) -> None:
        """Pause *life* for *for_s* seconds after *after_callbacks* more callbacks."""
        if life not in self._held_callbacks:
            self._pending_pauses[life] = _PendingPause(after_callbacks, for_s, waking)

    def end_life(self, life: str) -> None:
        """Drop messages queued for *life*; run its held-back callbacks, so that its tasks end."""
        self._pending_pauses.pop(life, None)
        self._arrived_callbacks.pop(life, None)
        self._release(self._held_callbacks.pop(life, []))

    def is_paused(self, life: str) -> bool:
        """Return whether *life* is paused."""
        return life in self._held_callbacks

    def hold_if_paused(self, callback: _LifeCallback) -> bool:
        """Hold *callback* back if its life is paused; return whether it was."""
        pause = self._pending_pauses.get(callback.life)
        if pause is not None:
            pause.callbacks_left -= 1
            if pause.callbacks_left < 0:
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
        self.call_later(pause.for_s, self._resume, life, pause.waking, context=outer_context)

    def _resume(self, life: str, waking: Waking) -> None:
        held_callbacks = self._held_callbacks.pop(life, None)
        if held_callbacks is None:
            # The life has ended during the pause.
            return
        arrived_callbacks = self._arrived_callbacks.pop(life)
        if waking is Waking.TIMERS_FIRST:
            self._release([*held_callbacks, *arrived_callbacks])
        elif waking is Waking.MIXED:
            self._release(self._merged(held_callbacks, arrived_callbacks))
        else:
            self._release(arrived_callbacks)
            # Timers run after the callbacks that the messages schedule at once.
            super().call_soon(self._release, held_callbacks, context=contextvars.Context())

    def _release(self, callbacks: list[_LifeCallback]) -> None:
        for callback in callbacks:
            super().call_soon(callback, context=callback.context)

    def _merged(
        self, first: list[_LifeCallback], second: list[_LifeCallback]
    ) -> list[_LifeCallback]:
        """Return a random merge of both lists that keeps the order within each."""
        is_from_first = [True] * len(first) + [False] * len(second)
        self._rng.shuffle(is_from_first)
        first_items, second_items = iter(first), iter(second)
        return [next(first_items) if is_first else next(second_items) for is_first in is_from_first]


def run_in_virtual_time(play: Coroutine[Any, Any, Any], loop: VirtualTimeLoop) -> Any:
    """Run *play* on *loop*, with the product's clocks patched to the loop's time."""
    with ExitStack() as patches:
        for module in _MODULES_WITH_CLOCK:
            if module in sys.modules:
                patches.enter_context(patch(f"{module}.time", loop))
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
