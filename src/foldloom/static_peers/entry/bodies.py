# SPDX-License-Identifier: MIT
"""Read request bodies within size and time limits; the content type of problem responses."""

from __future__ import annotations

from aiohttp import web

from foldloom.time_limits import SuspendAwareTimeout
from foldloom.verdicts import Problem, not_run

PROBLEM_TYPE = "application/problem+json"


async def read_body(request: web.Request, timeout_ms: int) -> bytes | Problem:
    """Return the complete body, or the problem to respond with."""
    try:
        async with SuspendAwareTimeout(timeout_ms):
            return await request.read()
    except TimeoutError:
        # The caller is slow or has disconnected.
        return not_run("body-timeout", "the body did not arrive in time", status=408)
    except web.HTTPRequestEntityTooLarge as error:
        return not_run("too-large", f"body: {error.text}", status=413)
