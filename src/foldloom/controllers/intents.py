# SPDX-License-Identifier: MIT
"""The operators' intents and their validation.

The names of kinds and fields are a public interface. Some still use the older words ``worker`` and
``member``; docs/GLOSSARY.md gives the current terms. A field left out (``UNSET``) keeps its value.
"""

from __future__ import annotations

from typing import Any, Literal

import msgspec
from expression import Error, Ok, Result
from msgspec import UNSET, UnsetType

# Maximum number of intents in one plan; above twice the number of endpoints to design for, 1,700.
INTENTS_MAX = 5_000


class ServiceIntent(msgspec.Struct, tag_field="kind", tag="service", forbid_unknown_fields=True):
    """Create or change a service; a field left out keeps its value."""

    name: str
    workers: list[str] | UnsetType = UNSET
    concurrency_max: int | UnsetType = UNSET
    restart: Literal["never", "after-worker-death"] | UnsetType = UNSET


class EndpointIntent(msgspec.Struct, tag_field="kind", tag="worker", forbid_unknown_fields=True):
    """Add or change an endpoint, and make it active."""

    name: str
    endpoint: str | UnsetType = UNSET
    zone: str | UnsetType = UNSET
    slots: int | UnsetType = UNSET


class EndpointLeavingIntent(
    msgspec.Struct, tag_field="kind", tag="worker-leaving", forbid_unknown_fields=True
):
    """Drain an endpoint."""

    name: str


class CustomerIntent(msgspec.Struct, tag_field="kind", tag="member", forbid_unknown_fields=True):
    """Create or change a customer; a field left out keeps its value."""

    name: str
    quota: int | UnsetType = UNSET
    concurrency_max: int | UnsetType = UNSET


class RemoveIntent(msgspec.Struct, tag_field="kind", tag="remove", forbid_unknown_fields=True):
    """Remove a service, an endpoint or a customer."""

    section: Literal["services", "workers", "members"]
    name: str


class BoxJoiningIntent(
    msgspec.Struct, tag_field="kind", tag="box-joining", forbid_unknown_fields=True
):
    """Add a box to the claim replicas."""

    name: str
    zone: str


class BoxLeavingIntent(
    msgspec.Struct, tag_field="kind", tag="box-leaving", forbid_unknown_fields=True
):
    """Remove a box from the claim replicas."""

    name: str


class BoxDeadIntent(msgspec.Struct, tag_field="kind", tag="box-dead", forbid_unknown_fields=True):
    """Declare that a box of the current list has permanently lost its data."""

    name: str


class ControllerReplaceIntent(
    msgspec.Struct, tag_field="kind", tag="controller-replace", forbid_unknown_fields=True
):
    """Replace the controller ``old`` by ``new``."""

    old: str
    new: str


Intent = (
    ServiceIntent
    | EndpointIntent
    | EndpointLeavingIntent
    | CustomerIntent
    | RemoveIntent
    | BoxJoiningIntent
    | BoxLeavingIntent
    | BoxDeadIntent
    | ControllerReplaceIntent
)


def parse_intents(raw: Any) -> Result[list[Intent], str]:
    """Validate *raw* (a list of JSON objects) and return the intents, or an error message."""
    if not isinstance(raw, list) or not raw:
        return Error("intents: expected a list that is not empty")
    if len(raw) > INTENTS_MAX:
        return Error(f"intents: more than {INTENTS_MAX}")
    try:
        return Ok(msgspec.convert(raw, list[Intent]))
    except msgspec.ValidationError as error:
        return Error(f"intents: {error}")
