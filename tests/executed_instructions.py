# SPDX-License-Identifier: MIT
"""Counts the work of a call in bytecode instructions, which doesn't depend on the machine."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def executed_instructions(call: Callable[[], object]) -> int:
    """Return the number of bytecode instructions that *call* executes."""
    count = 0

    def trace(frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return trace

    earlier = sys.gettrace()
    # Callbacks of a collection would be counted too.
    gc.disable()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(earlier)
        gc.enable()
    return count
