# SPDX-License-Identifier: MIT
"""The configuration: services, endpoints, customers and the list of boxes.

Owns nothing: types, and the change of one into the next. Stored sections keep older names
(``workers``, ``members``), mapped in ``_FIELDS``.
"""

from __future__ import annotations

from fnmatch import fnmatchcase
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

ACTIVE = "active"
LEAVING = "leaving"
RESTART_NEVER = "never"
RESTART_AFTER_ENDPOINT_DEATH = "after-worker-death"

SERVICES = "services"
ENDPOINTS = "workers"
CUSTOMERS = "members"
BOXES = "boxes"
CONTROLLERS = "controllers"

# The data folder's id of a controller whose folder an operator formatted and nobody has seen yet.
ANY_STORAGE = "?"

# Sections are named in plans, in the log and in operators' answers; two names are older than the
# code's words.
_FIELDS = {
    SERVICES: "services",
    ENDPOINTS: "endpoints",
    CUSTOMERS: "customers",
    BOXES: "boxes",
    CONTROLLERS: "controllers",
}


class Service(TypedDict):
    """A kind of task and where it may run.

    ``workers`` holds shell patterns on endpoint names. ``concurrency_max`` is a bound on its
    running tasks on each zone (0: none). ``restart`` is ``never`` or ``after-worker-death``.
    """

    workers: list[str]
    concurrency_max: int
    restart: str


class Endpoint(TypedDict):
    """A back end that runs tasks at ``endpoint`` (a URL), ``slots`` at a time."""

    endpoint: str
    zone: str
    slots: int
    state: str


class Customer(TypedDict):
    """A customer: its ``quota`` is its weight, ``concurrency_max`` a bound (0: none)."""

    quota: int
    concurrency_max: int


class BoxList(TypedDict):
    """The boxes that hold claims, by zone.

    ``next`` is the coming list while a change is joint, else ``None``. ``dead`` names boxes
    of the old list that an operator declared dead. ``epoch`` rises with every step.
    """

    epoch: int
    current: dict[str, str]
    next: dict[str, str] | None
    dead: list[str]


class Config(NamedTuple):
    """A confirmed configuration.

    Args:
        version: Rises by one with each confirmed change.
        services: Services by name.
        endpoints: Endpoints by name.
        customers: Customers by name.
        boxes: The claim replicas' list.
        controllers: Storage id of each controller; empty until it may vote.
    """

    version: int
    services: dict[str, Service]
    endpoints: dict[str, Endpoint]
    customers: dict[str, Customer]
    boxes: BoxList
    controllers: dict[str, str]


class Change(TypedDict):
    """One change of a plan: the value of ``section.name`` before and after.

    ``None`` stands for "not there".
    """

    section: str
    name: str
    before: NotRequired[Any]
    after: NotRequired[Any]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Config)


def empty_config(box_zones: dict[str, str], controllers: dict[str, str]) -> Config:
    """Return version 0: no services, the boxes and controllers of the settings."""
    boxes = BoxList(epoch=0, current=dict(box_zones), next=None, dead=[])
    return Config(0, {}, {}, {}, boxes, dict(controllers))


def encode_config(config: Config) -> bytes:
    """Return the bytes of *config*."""
    return _ENCODER.encode(config)


def decode_config(data: bytes) -> Config:
    """Return the configuration in *data*.

    Raises:
        msgspec.DecodeError: The bytes are no configuration.
    """
    return _DECODER.decode(data)


def config_fields(config: Config) -> dict[str, Any]:
    """Return *config* as operators get it, under the names of its sections."""
    sections = {section: getattr(config, field) for section, field in _FIELDS.items()}
    return {"version": config.version, **sections}


def section_value(config: Config, section: str, name: str) -> Any:
    """Return what stands at ``section.name``, or ``None``."""
    if section == BOXES:
        return config.boxes
    values: dict[str, Any] = getattr(config, _FIELDS[section])
    return values.get(name)


def apply_changes(config: Config, changes: list[Change], version: int) -> Config:
    """Return *config* with *changes* made, as *version*."""
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
    """Return the names of the active endpoints that may serve *service*."""
    definition = config.services.get(service)
    if definition is None:
        return []
    return [
        name
        for name, endpoint in config.endpoints.items()
        if endpoint["state"] == ACTIVE
        and any(fnmatchcase(name, pattern) for pattern in definition["workers"])
    ]
