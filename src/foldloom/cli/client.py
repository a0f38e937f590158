# SPDX-License-Identifier: MIT
"""HTTP calls of the command-line tool.

Owns the box address and the operator token of one command. Relies on the HTTP interface only; a
call is never sent again by itself.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec

from foldloom.exceptions import CommandError

DEFAULT_URL = "http://127.0.0.1:8101"
# Exit codes are promises to scripts (docs/operate.md). This one is for all other failures.
EXIT_FAILURE = 1
# Wrong usage or settings.
EXIT_USAGE = 2
# The work certainly did not run.
EXIT_REFUSED = 3
# The work may have run.
EXIT_FAILED = 4
# Another content or another plan.
EXIT_CONFLICT = 5
# No answer; it may have taken effect.
EXIT_UNREACHABLE = 6
# Seconds for one call: above the longest deadline of a job (60 s) and a confirm (6 s).
_TIMEOUT_S = 90.0


class Reply(NamedTuple):
    """An HTTP answer: its status and its decoded JSON."""

    status: int
    fields: Any


def base_url(url: str) -> str:
    """Return the box to talk to: *url*, else ``FOLDLOOM_URL``, else the default."""
    return (url or os.environ.get("FOLDLOOM_URL", "") or DEFAULT_URL).rstrip("/")


def operator_headers(token_file: str) -> dict[str, str]:
    """Return the operator's headers: from the file, else ``FOLDLOOM_TOKEN``.

    Raises:
        CommandError: The file can't be read or there is no token.
    """
    token = os.environ.get("FOLDLOOM_TOKEN", "")
    if token_file:
        try:
            token = Path(token_file).read_text(encoding="utf-8").split()[0]
        except (OSError, IndexError) as error:
            raise CommandError(f"no token in {token_file}", EXIT_USAGE) from error
    if not token:
        raise CommandError("give --token-file or set FOLDLOOM_TOKEN", EXIT_USAGE)
    return {"Authorization": f"Bearer {token}"}


def call(method: str, url: str, body: Any = None, headers: dict[str, str] | None = None) -> Reply:
    """Make one call and return its answer.

    Raises:
        CommandError: The box can't be reached.
    """
    return asyncio.run(_call(method, url, body, headers or {}))


async def _call(method: str, url: str, body: Any, headers: dict[str, str]) -> Reply:
    data = None if body is None else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=data, headers=headers) as response,
        ):
            raw = await response.read()
            return Reply(response.status, _decoded(raw))
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        message = f"{url}: {type(error).__name__}; it may or may not have taken effect"
        raise CommandError(message, EXIT_UNREACHABLE) from error


def _decoded(raw: bytes) -> Any:
    try:
        return msgspec.json.decode(raw)
    except msgspec.DecodeError:
        # Not an answer of foldloom: shown as it came.
        return raw.decode("utf-8", "replace")


def expect_ok(reply: Reply) -> Any:
    """Return the fields of a 200 answer.

    Raises:
        CommandError: Any other answer, with the documented exit code.
    """
    if reply.status == 200:
        return reply.fields
    fields = reply.fields if isinstance(reply.fields, dict) else {}
    reason = fields.get("reason", "error")
    detail = fields.get("detail", "")
    run = fields.get("run", "")
    line = f"{reply.status} {reason}: {detail} ({run})"
    raise CommandError(line, exit_code_of(reply.status, fields))


def exit_code_of(status: int, fields: dict[str, Any]) -> int:
    """Return the documented exit code of an answer."""
    if status == 200:
        return 0
    if status == 409:
        return EXIT_CONFLICT
    if fields.get("verdict") == "refused":
        return EXIT_REFUSED
    if fields.get("verdict") == "failed":
        return EXIT_FAILED
    return EXIT_FAILURE
