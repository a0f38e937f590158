# SPDX-License-Identifier: MIT
"""A limit on the processor time of each example of a generated test."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from typing import Any

# Hypothesis's default limit, which is on elapsed time: it also counts pauses of the process.
EXAMPLE_MAX_S = 0.2


def limit_processor_time(test: Callable[..., Any]) -> Callable[..., Any]:
    """Return *test* with a check that each call spends less than ``EXAMPLE_MAX_S``."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> Any:
        began_s = time.thread_time()
        result = test(*args, **kwargs)
        spent_s = time.thread_time() - began_s
        assert spent_s < EXAMPLE_MAX_S, f"the example took {spent_s:.3f} s of processor time"
        return result

    return run
