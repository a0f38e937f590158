# SPDX-License-Identifier: MIT
"""The operators' routes: plan intents, confirm a plan, get configuration and status.

Owns the operators' tokens. Confirmed plans are committed by the controllers' leader; an unconfirmed
plan has no effect.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web
from expression import Result

from foldloom.controllers.client import ControllerClient
from foldloom.controllers.commands import Answer, ConfirmCommand
from foldloom.controllers.config import config_fields
from foldloom.controllers.holder import ConfigStore
from foldloom.controllers.intents import parse_intents
from foldloom.controllers.plans import Plan, make_plan
from foldloom.logs import CONFIG_LOG
from foldloom.settings import Settings
from foldloom.static_peers.entry.bodies import PROBLEM_TYPE, read_body
from foldloom.static_peers.entry.jobs import problem_response
from foldloom.verdicts import Problem, not_run

# Timeout of the read barrier; longer than two elections.
_BARRIER_TIMEOUT_MS = 1_500
# Timeout of a confirm; longer than that of the proposal (controllers.proposals).
_CONFIRM_TIMEOUT_MS = 6_000
# How long to wait for a confirmed version to take effect on this box, before planning on it or
# responding to its confirm.
_CATCH_UP_TIMEOUT_S = 1.0


class _ConfirmBody(msgspec.Struct):
    command: str
    base_version: int
    intents: list[Any]


_CONFIRM_DECODER = msgspec.json.Decoder(_ConfirmBody)
_ENCODER = msgspec.json.Encoder()


def read_tokens(path: str) -> list[str]:
    """Return the operators' tokens from the file at *path*, one per line."""
    if not path:
        return []
    lines = Path(path).read_text(encoding="utf-8").splitlines()
    return [line.strip() for line in lines if line.strip()]


class OperatorRoutes:
    """HTTP routes for operators.

    Args:
        settings: This box's settings.
        client: Sends commands to the controllers' leader.
        holder: The configuration in effect on this box.
        status: Returns the system status as seen by this box.
    """

    def __init__(
        self,
        settings: Settings,
        client: ControllerClient,
        holder: ConfigStore,
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self._settings = settings
        self._client = client
        self._holder = holder
        self._status = status
        self._tokens = [token.encode() for token in read_tokens(settings.operator_tokens_file)]

    def add_to(self, app: web.Application) -> None:
        """Add the routes to *app*."""
        app.router.add_post("/v1/intents", self._post_intents)
        app.router.add_post("/v1/plans/{digest}/confirm", self._post_confirm)
        app.router.add_get("/v1/config", self._get_config)
        app.router.add_get("/v1/status", self._get_status)

    async def _post_intents(self, request: web.Request) -> web.Response:
        raw = await self._authorized_json(request)
        if isinstance(raw, Problem):
            return self._problem(raw)
        raw_intents = raw.get("intents") if isinstance(raw, dict) else raw
        intents = parse_intents(raw_intents)
        if intents.is_error():
            return self._problem(not_run("bad-request", intents.error, status=400))
        is_current = await self._catch_up()
        planned = make_plan(self._holder.config, intents.ok)
        if planned.is_error():
            return self._problem(not_run("bad-intent", planned.error, status=409))
        fields = plan_fields(planned.ok)
        fields["is_current"] = is_current
        return _json(200, fields)

    async def _post_confirm(self, request: web.Request) -> web.Response:
        raw = await self._authorized_json(request)
        if isinstance(raw, Problem):
            return self._problem(raw)
        try:
            body = msgspec.convert(raw, _ConfirmBody)
        except msgspec.ValidationError as error:
            return self._problem(not_run("bad-request", str(error), status=400))
        if not body.command:
            return self._problem(not_run("bad-request", "command: is required", status=400))
        digest = request.match_info["digest"]
        command = ConfirmCommand(body.command, digest, body.intents)
        result = await self._client.propose(command, _CONFIRM_TIMEOUT_MS)
        if result.is_ok() and result.ok.status == 200:
            await self._wait_until_in_effect(result.ok.version)
        return self._confirm_response(body.command, result)

    async def _wait_until_in_effect(self, version: int) -> None:
        """Wait until the confirmed *version* is in effect on this box.

        The leader replies before this box receives the commit; without the wait, a status request
        right after the confirm could still show the previous version.
        """
        if not await self._holder.wait_version(version, _CATCH_UP_TIMEOUT_S):
            CONFIG_LOG.warning(
                "Version {} is confirmed but not yet in effect on this box.", version
            )

    def _confirm_response(self, command: str, result: Result[Answer, Problem]) -> web.Response:
        if result.is_error():
            CONFIG_LOG.warning("Command {} not confirmed: {}.", command, result.error.reason)
            return self._problem(result.error)
        answer = result.ok
        if answer.status == 200:
            CONFIG_LOG.info("Command {} committed as version {}.", command, answer.version)
            return _json(200, {"version": answer.version})
        reason = "conflict" if answer.status == 409 else "bad-request"
        problem = not_run(reason, answer.detail, status=answer.status)
        if answer.plan is None:
            return self._problem(problem)
        fields = msgspec.json.decode(problem_response("", self._settings.zone, problem).body)
        fields["fresh_plan"] = plan_fields(answer.plan)
        return _json(answer.status, fields, PROBLEM_TYPE)

    async def _get_config(self, request: web.Request) -> web.Response:
        if not self._is_authorized(request):
            return self._unauthorized()
        return _json(200, config_fields(self._holder.config))

    async def _get_status(self, request: web.Request) -> web.Response:
        if not self._is_authorized(request):
            return self._unauthorized()
        return _json(200, self._status())

    async def _catch_up(self) -> bool:
        """Wait until the newest confirmed version is in effect; return ``False`` on timeout."""
        version = await self._client.newest_version(_BARRIER_TIMEOUT_MS)
        return version is not None and await self._holder.wait_version(version, _CATCH_UP_TIMEOUT_S)

    async def _authorized_json(self, request: web.Request) -> Any:
        """Return the decoded JSON body, or the problem to respond with."""
        if not self._is_authorized(request):
            return _unauthorized_problem()
        body = await read_body(request, self._settings.http.body_timeout_ms)
        if isinstance(body, Problem):
            return body
        try:
            return msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            return not_run("bad-request", str(error), status=400)

    def _is_authorized(self, request: web.Request) -> bool:
        scheme, _, credentials = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return False
        # Compares all tokens in constant time to prevent timing attacks.
        matches = [
            hmac.compare_digest(credentials.strip().encode(), token) for token in self._tokens
        ]
        return any(matches)

    def _unauthorized(self) -> web.Response:
        return self._problem(_unauthorized_problem())

    def _problem(self, problem: Problem) -> web.Response:
        response = problem_response("", self._settings.zone, problem)
        headers = {"WWW-Authenticate": "Bearer"} if problem.status == 401 else {}
        return web.Response(
            status=problem.status, body=response.body, content_type=PROBLEM_TYPE, headers=headers
        )


def plan_fields(plan: Plan) -> dict[str, Any]:
    """Return the JSON fields of *plan*."""
    return {
        "plan": plan.descriptions,
        "base_version": plan.base_version,
        "changes": plan.changes,
        "digest": plan.digest,
    }


def _unauthorized_problem() -> Problem:
    return not_run("unauthorized", "a bearer token of an operator is required", status=401)


def _json(status: int, fields: Any, content_type: str = "application/json") -> web.Response:
    return web.Response(status=status, body=_ENCODER.encode(fields), content_type=content_type)
