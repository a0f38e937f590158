# SPDX-License-Identifier: MIT
"""HTTP client of the command-line tool. Requests are never retried automatically."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec

from foldloom.exceptions import CommandError

DEFAULT_URL = "http://127.0.0.1:8101"
# Exit codes are a stable interface for scripts (docs/operate.md). Any failure not listed below.
EXIT_FAILURE = 1
# Invalid usage or settings.
EXIT_USAGE = 2
# Refused: no task has run.
EXIT_REFUSED = 3
# Failed: tasks may have run.
EXIT_FAILED = 4
# The content or the plan conflicts with an earlier one.
EXIT_CONFLICT = 5
# No response; the request may have taken effect.
EXIT_UNREACHABLE = 6
# Timeout of one request; must exceed the longest deadline of a job.
_TIMEOUT_S = 90.0


class Reply(NamedTuple):
    """An HTTP response: status and decoded JSON body."""

    status: int
    fields: Any


def base_url(url: str) -> str:
    """Return the base URL of the box: *url*, else ``FOLDLOOM_URL``, else the default."""
    return (url or os.environ.get("FOLDLOOM_URL", "") or DEFAULT_URL).rstrip("/")


def operator_headers(token_file: str) -> dict[str, str]:
    """Return the authorization header, with the token from the file or ``FOLDLOOM_TOKEN``.

    Raises:
        CommandError: The file can't be read, or there is no token.
    """
    token = os.environ.get("FOLDLOOM_TOKEN", "")
    if token_file:
        try:
            token = Path(token_file).read_text(encoding="utf-8").split()[0]
        except (OSError, IndexError) as error:
            raise CommandError(
                f"can't read an operator token from {token_file}", EXIT_USAGE
            ) from error
    if not token:
        raise CommandError(
            "operator token required: pass --token-file or set FOLDLOOM_TOKEN", EXIT_USAGE
        )
    return {"Authorization": f"Bearer {token}"}


def call(method: str, url: str, body: Any = None, headers: dict[str, str] | None = None) -> Reply:
    """Send one request and return the response.

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
        # Not a response of foldloom; returned as text.
        return raw.decode("utf-8", "replace")


def expect_ok(reply: Reply) -> Any:
    """Return the decoded body of a 200 response.

    Raises:
        CommandError: The status is not 200; carries the documented exit code.
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
    """Return the documented exit code for a response."""
    if status == 200:
        return 0
    if status == 409:
        return EXIT_CONFLICT
    if fields.get("verdict") == "refused":
        return EXIT_REFUSED
    if fields.get("verdict") == "failed":
        return EXIT_FAILED
    return EXIT_FAILURE
