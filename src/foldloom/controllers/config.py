# SPDX-License-Identifier: MIT
"""The configuration: services, endpoints, customers, the box list and the controllers.

Types, and functions that apply changes. Stored sections keep older names (``workers``,
``members``), mapped in ``_FIELDS``.
"""

from __future__ import annotations

from fnmatch import fnmatchcase
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

ACTIVE = "active"
LEAVING = "leaving"
RESTART_NEVER = "never"
RESTART_AFTER_ENDPOINT_CRASH = "after-worker-death"

SERVICES = "services"
ENDPOINTS = "workers"
CUSTOMERS = "members"
BOXES = "boxes"
CONTROLLERS = "controllers"

# Storage id of an initial controller whose folder is not recorded yet.
UNRECORDED_STORAGE_ID = "?"

# Section names as used in plans, log entries and HTTP answers.
_FIELDS = {
    SERVICES: "services",
    ENDPOINTS: "endpoints",
    CUSTOMERS: "customers",
    BOXES: "boxes",
    CONTROLLERS: "controllers",
}


class Service(TypedDict):
    """A kind of task and the endpoints that may run it.

    ``workers`` holds shell patterns for endpoint names. ``concurrency_max`` limits its running
    tasks per zone (0: no limit). ``restart`` is ``never`` or ``after-worker-death``.
    """

    workers: list[str]
    concurrency_max: int
    restart: str


class Endpoint(TypedDict):
    """An endpoint at the URL ``endpoint`` that runs up to ``slots`` tasks at a time."""

    endpoint: str
    zone: str
    slots: int
    state: str


class Customer(TypedDict):
    """A customer: ``quota`` is its weight, ``concurrency_max`` its limit (0: no limit)."""

    quota: int
    concurrency_max: int


class BoxList(TypedDict):
    """The boxes that hold claims, by zone.

    ``next`` is the list that a joint change leads to, ``None`` outside of one. ``dead`` names boxes
    of the current list that an operator declared dead. ``epoch`` increases with every step.
    """

    epoch: int
    current: dict[str, str]
    next: dict[str, str] | None
    dead: list[str]


class Config(NamedTuple):
    """A confirmed configuration.

    Args:
        version: Increases by one with each confirmed change.
        services: Services by name.
        endpoints: Endpoints by name.
        customers: Customers by name.
        boxes: The boxes that hold claim replicas.
        controllers: Storage ids by controller; empty for a controller that may not vote yet.
    """

    version: int
    services: dict[str, Service]
    endpoints: dict[str, Endpoint]
    customers: dict[str, Customer]
    boxes: BoxList
    controllers: dict[str, str]


class Change(TypedDict):
    """One change of a plan: the value of ``section.name`` before and after.

    ``None`` means that there is no value.
    """

    section: str
    name: str
    before: NotRequired[Any]
    after: NotRequired[Any]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Config)


def empty_config(box_zones: dict[str, str], controllers: dict[str, str]) -> Config:
    """Return version 0: the boxes and controllers of the settings, and nothing else."""
    boxes = BoxList(epoch=0, current=dict(box_zones), next=None, dead=[])
    return Config(0, {}, {}, {}, boxes, dict(controllers))


def encode_config(config: Config) -> bytes:
    """Return *config* encoded."""
    return _ENCODER.encode(config)


def decode_config(data: bytes) -> Config:
    """Return the configuration encoded in *data*.

    Raises:
        msgspec.DecodeError: The bytes are not a valid configuration.
    """
    return _DECODER.decode(data)


def config_fields(config: Config) -> dict[str, Any]:
    """Return *config* as shown to operators, under its section names."""
    sections = {section: getattr(config, field) for section, field in _FIELDS.items()}
    return {"version": config.version, **sections}


def section_value(config: Config, section: str, name: str) -> Any:
    """Return the value of ``section.name``, or ``None`` if there is none."""
    if section == BOXES:
        return config.boxes
    values: dict[str, Any] = getattr(config, _FIELDS[section])
    return values.get(name)


def apply_changes(config: Config, changes: list[Change], version: int) -> Config:
    """Return *config* with *changes* applied, as *version*."""
    sections: dict[str, Any] = {
        SERVICES: dict(config.services),
        ENDPOINTS: dict(config.endpoints),
        CUSTOMERS: dict(config.customers),
        CONTROLLERS: dict(config.controllers),
    }
    boxes = config.boxes
    for change in changes:
        after = change.get("after")
        if change["section"] == BOXES:
            boxes = msgspec.convert(after, BoxList)
        elif after is None:
            sections[change["section"]].pop(change["name"], None)
        else:
            sections[change["section"]][change["name"]] = after
    fields = {_FIELDS[section]: values for section, values in sections.items()}
    return config._replace(version=version, boxes=boxes, **fields)


def endpoints_of(config: Config, service: str) -> list[str]:
    """Return the names of the active endpoints eligible for *service*."""
    definition = config.services.get(service)
    if definition is None:
        return []
    return [
        name
        for name, endpoint in config.endpoints.items()
        if endpoint["state"] == ACTIVE
        and any(fnmatchcase(name, pattern) for pattern in definition["workers"])
    ]
