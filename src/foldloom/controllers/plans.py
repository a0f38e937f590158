# SPDX-License-Identifier: MIT
"""Plans: the changes that intents would make, as data and as text.

Pure functions. A plan is identified by a digest of its changes, so that a confirm of a plan whose
changes differ by now is detected.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result
from msgspec import UNSET

from foldloom.controllers.config import (
    ACTIVE,
    BOXES,
    CONTROLLERS,
    CUSTOMERS,
    ENDPOINTS,
    LEAVING,
    RESTART_NEVER,
    SERVICES,
    BoxList,
    Change,
    Config,
    Customer,
    Endpoint,
    Service,
    apply_changes,
    section_value,
)
from foldloom.controllers.intents import (
    BoxDeadIntent,
    BoxJoiningIntent,
    BoxLeavingIntent,
    ControllerReplaceIntent,
    CustomerIntent,
    EndpointIntent,
    EndpointLeavingIntent,
    Intent,
    RemoveIntent,
    ServiceIntent,
)
from foldloom.ids import content_digest


class Plan(NamedTuple):
    """The changes that confirming intents would make.

    Args:
        base_version: The configuration version that the plan is based on.
        changes: Every change, with the value before and after.
        digest: Identifies the changes; equal changes have equal digests.
    """

    base_version: int
    changes: list[Change]
    digest: str

    @property
    def descriptions(self) -> list[str]:
        """One sentence per change."""
        return [_describe(change) for change in self.changes]


def make_plan(config: Config, intents: list[Intent]) -> Result[Plan, str]:
    """Return the plan for *intents* on *config*, or an error message."""
    planned_config = config
    changed_keys: list[tuple[str, str]] = []
    for intent in intents:
        steps = _steps(intent, planned_config)
        if steps.is_error():
            return Error(steps.error)
        for section, name, after in steps.ok:
            change = Change(section=section, name=name, after=after)
            planned_config = apply_changes(planned_config, [change], planned_config.version)
            if (section, name) not in changed_keys:
                changed_keys.append((section, name))
    changes = []
    for section, name in changed_keys:
        before = section_value(config, section, name)
        after = section_value(planned_config, section, name)
        if before != after:
            changes.append(Change(section=section, name=name, before=before, after=after))
    return Ok(Plan(config.version, changes, content_digest(changes)))


Step = Result[list[tuple[str, str, Any]], str]


@singledispatch
def _steps(intent: Any, _config: Config) -> Step:
    """Return the values (section, name, after) that *intent* sets, or an error message."""
    raise TypeError(f"unsupported intent type: {type(intent).__name__}")


@_steps.register
def _service(intent: ServiceIntent, config: Config) -> Step:
    existing = config.services.get(intent.name)
    base = existing or Service(workers=["*"], concurrency_max=0, restart=RESTART_NEVER)
    after = _merged(base, intent, ("workers", "concurrency_max", "restart"))
    return Ok([(SERVICES, intent.name, after)])


@_steps.register
def _endpoint(intent: EndpointIntent, config: Config) -> Step:
    existing = config.endpoints.get(intent.name)
    if existing is None and (intent.endpoint is UNSET or intent.zone is UNSET):
        return Error(f"worker {intent.name}: endpoint and zone are required for a new worker")
    base = existing or Endpoint(endpoint="", zone="", slots=8, state=ACTIVE)
    after = _merged(base, intent, ("endpoint", "zone", "slots"))
    after["state"] = ACTIVE
    if after["slots"] < 1:
        return Error(f"worker {intent.name}: slots must be at least 1")
    if not str(after["endpoint"]).startswith(("http://", "https://")):
        return Error(f"worker {intent.name}: endpoint must be an http or https URL")
    return Ok([(ENDPOINTS, intent.name, after)])


@_steps.register
def _endpoint_leaving(intent: EndpointLeavingIntent, config: Config) -> Step:
    existing = config.endpoints.get(intent.name)
    if existing is None:
        return Error(f"worker {intent.name}: unknown")
    return Ok([(ENDPOINTS, intent.name, {**existing, "state": LEAVING})])


@_steps.register
def _customer(intent: CustomerIntent, config: Config) -> Step:
    base = config.customers.get(intent.name) or Customer(quota=1, concurrency_max=0)
    after = _merged(base, intent, ("quota", "concurrency_max"))
    if after["quota"] < 1:
        return Error(f"member {intent.name}: quota must be at least 1")
    return Ok([(CUSTOMERS, intent.name, after)])


@_steps.register
def _remove(intent: RemoveIntent, config: Config) -> Step:
    if section_value(config, intent.section, intent.name) is None:
        return Error(f"{intent.section} {intent.name}: unknown")
    return Ok([(intent.section, intent.name, None)])


def _next_box_zones(config: Config) -> dict[str, str]:
    boxes = config.boxes
    return dict(boxes["current"] if boxes["next"] is None else boxes["next"])


@_steps.register
def _box_joining(intent: BoxJoiningIntent, config: Config) -> Step:
    next_zones = _next_box_zones(config)
    next_zones[intent.name] = intent.zone
    return _next_boxes(config, next_zones)


@_steps.register
def _box_leaving(intent: BoxLeavingIntent, config: Config) -> Step:
    next_zones = _next_box_zones(config)
    if intent.name not in next_zones:
        return Error(f"box {intent.name}: unknown")
    del next_zones[intent.name]
    if not next_zones:
        return Error("boxes: the last box can't leave")
    return _next_boxes(config, next_zones)


def _next_boxes(config: Config, next_zones: dict[str, str]) -> Step:
    boxes = config.boxes
    if boxes["next"] is not None and boxes["next"] != next_zones:
        return Error("boxes: the change before is still joint")
    if next_zones == boxes["current"]:
        return Ok([(BOXES, "list", boxes)])
    after = BoxList(
        epoch=boxes["epoch"] + 1, current=boxes["current"], next=next_zones, dead=boxes["dead"]
    )
    return Ok([(BOXES, "list", after)])


@_steps.register
def _box_dead(intent: BoxDeadIntent, config: Config) -> Step:
    boxes = config.boxes
    if intent.name not in boxes["current"]:
        return Error(f"box {intent.name}: unknown")
    after = BoxList(
        epoch=boxes["epoch"],
        current=boxes["current"],
        next=boxes["next"],
        dead=sorted({*boxes["dead"], intent.name}),
    )
    return Ok([(BOXES, "list", after)])


@_steps.register
def _controller_replace(intent: ControllerReplaceIntent, config: Config) -> Step:
    if intent.old not in config.controllers:
        return Error(f"controller {intent.old}: unknown")
    if intent.new in config.controllers:
        return Error(f"controller {intent.new}: is one already")
    if any(not storage for storage in config.controllers.values()):
        return Error("controllers: one is still being taken in")
    return Ok([(CONTROLLERS, intent.old, None), (CONTROLLERS, intent.new, "")])


def _merged(base: Any, intent: msgspec.Struct, fields: tuple[str, ...]) -> dict[str, Any]:
    """Return *base* with the *fields* that *intent* sets."""
    after = dict(base)
    for field in fields:
        value = getattr(intent, field)
        if value is not UNSET:
            after[field] = value
    return after


def _describe(change: Change) -> str:
    """Return a sentence that describes *change*."""
    before, after = change.get("before"), change.get("after")
    subject = f"{change['section']} {change['name']}"
    if before is None:
        return f"{subject}: add {_format_json(after)}."
    if after is None:
        return f"{subject}: remove."
    if not isinstance(before, dict) or not isinstance(after, dict):
        return f"{subject}: from {_format_json(before)} to {_format_json(after)}."
    parts = [
        f"{key} from {_format_json(before.get(key))} to {_format_json(value)}"
        for key, value in after.items()
        if before.get(key) != value
    ]
    return f"{subject}: {', '.join(parts)}."


def _format_json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
