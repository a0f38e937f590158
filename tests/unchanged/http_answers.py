# SPDX-License-Identifier: MIT
"""Collects a server's responses to a list of requests."""

from __future__ import annotations

import json
from typing import Any

from aiohttp.test_utils import TestClient, TestServer

_KEPT_HEADERS = ("Content-Type", "Retry-After", "WWW-Authenticate", "Allow", "Connection")


async def answers_of(app: Any, calls: list[tuple[str, str, Any]], headers: dict[str, str]) -> Any:
    """Return status, selected headers and body of the response to each of *calls*."""
    answers = {}
    async with TestClient(TestServer(app)) as client:
        for method, path, body in calls:
            data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
            async with client.request(method, path, data=data, headers=headers) as answer:
                kept_headers = {
                    key: answer.headers[key] for key in _KEPT_HEADERS if key in answer.headers
                }
                text = await answer.text()
            answers[f"{method} {path}"] = [answer.status, kept_headers, text]
    return answers
