# SPDX-License-Identifier: MIT
"""Operators' routes on a box that receives a commit after the leader's reply.

Guards against a status that shows the previous version right after a confirm.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from expression import Ok

from foldloom.controllers.commands import Answer
from foldloom.controllers.config import empty_config
from foldloom.controllers.holder import ConfigStore
from foldloom.settings_file import settings_from
from foldloom.static_peers.entry.operators import OperatorRoutes

_TOKEN = "token"
_COMMIT_DELAY_S = 0.05
_CONFIRM = {"command": "one", "base_version": 0, "intents": []}


class _Network:
    """A network without peers."""

    def on(self, kind: type, handler: Any) -> None:
        """Ignore the handler."""


class _Leader:
    """A leader that commits at once; this box receives the commit after a delay, or never."""

    def __init__(self, holder: ConfigStore, commit_delay_s: float | None) -> None:
        self._holder = holder
        self._commit_delay_s = commit_delay_s

    async def propose(self, _command: Any, _timeout_ms: int) -> Any:
        """Commit version 1."""
        if self._commit_delay_s is not None:
            committed = self._holder.config._replace(version=1)
            asyncio.get_running_loop().call_later(
                self._commit_delay_s, self._holder.adopt, committed
            )
        return Ok(Answer(200, 1))


async def _confirm_and_get_status(folder: Path, commit_delay_s: float | None) -> tuple[int, int]:
    """Confirm a plan, then get the status; return the versions in both responses."""
    (folder / "tokens").write_text(_TOKEN)
    settings = settings_from(
        {
            "box": "a1",
            "zone": "a",
            "roles": ["entry"],
            "listen": "127.0.0.1:1",
            "http": {"host": "127.0.0.1", "port": 1},
            "peers": [{"box": "a1", "zone": "a", "roles": ["entry"], "address": "127.0.0.1:1"}],
            "operator_tokens_file": str(folder / "tokens"),
        }
    )
    network: Any = _Network()
    holder = ConfigStore(network, empty_config({"a1": "a"}, {"a1": "?"}))
    leader: Any = _Leader(holder, commit_delay_s)
    routes = OperatorRoutes(settings, leader, holder, lambda: {"version": holder.config.version})
    app = web.Application()
    routes.add_to(app)
    headers = {"Authorization": f"Bearer {_TOKEN}"}
    async with TestClient(TestServer(app)) as client:
        confirmed = await client.post("/v1/plans/d/confirm", json=_CONFIRM, headers=headers)
        status = await client.get("/v1/status", headers=headers)
        return (await confirmed.json())["version"], (await status.json())["version"]


class TestConfirm:
    """The response to a confirm."""

    def test_version_in_force_after_confirm(self, tmp_path: Path) -> None:
        """A confirmed version is in force on the box when it responds."""
        assert asyncio.run(_confirm_and_get_status(tmp_path, _COMMIT_DELAY_S)) == (1, 1)

    def test_response_without_commit(self, tmp_path: Path) -> None:
        """A box that does not receive the commit still responds to the confirm."""
        assert asyncio.run(_confirm_and_get_status(tmp_path, None)) == (1, 0)
