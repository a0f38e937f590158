# SPDX-License-Identifier: MIT
"""Bodies of requests, read within bounds, and the type of one that is a problem. Owns nothing."""

from __future__ import annotations

from aiohttp import web

from foldloom.time_limits import TimeLimit
from foldloom.verdicts import Problem, not_run

PROBLEM_TYPE = "application/problem+json"


async def read_body(request: web.Request, timeout_ms: int) -> bytes | Problem:
    """Return the whole body, or the problem to answer with."""
    try:
        async with TimeLimit(timeout_ms):
            return await request.read()
    except TimeoutError:
        # The caller is too slow, or gone.
        return not_run("body-timeout", "the body did not arrive in time", status=408)
    except web.HTTPRequestEntityTooLarge as error:
        return not_run("too-large", f"body: {error.text}", status=413)
