# SPDX-License-Identifier: MIT
"""Print the number, fields, encoding and counter of each message between boxes as JSON.

Run as a program with the modules to import: static_peers and seed_discovery share the message
numbers 80 to 83, so their modules cannot be imported into one process.
"""

from __future__ import annotations

import importlib
import json
import sys
import types
import typing
from enum import Enum
from typing import Any

import msgspec

from foldloom.metrics import Metrics
from foldloom.peers import messages
from foldloom.peers.wire import PeerNetwork
from foldloom.settings_file import settings_from

_BOX = "127.0.0.1:9000"
_PEER = "127.0.0.1:9001"


def sample(annotation: Any, name: str) -> Any:
    """Return a value of the type *annotation* derived from the field's *name*."""
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin in (types.UnionType, typing.Union):
        return sample(arguments[0], name)
    if origin is list:
        return [sample(arguments[0], name)]
    if origin is tuple:
        return (sample(arguments[0], name),)
    if origin is dict:
        return {sample(arguments[0], name): sample(arguments[1], name)}
    if origin is typing.NotRequired:
        return sample(arguments[0], name)
    if annotation is Any:
        return name
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return list(annotation)[-1]
    if typing.is_typeddict(annotation):
        hints = typing.get_type_hints(annotation)
        return {key: sample(hint, key) for key, hint in hints.items()}
    if hasattr(annotation, "_fields"):
        return sample_message(annotation)
    return {bool: True, int: len(name), float: len(name) + 0.5, str: name, bytes: name.encode()}[
        annotation
    ]


def sample_message(message_type: Any) -> Any:
    """Return a message whose values depend on the fields' positions, not their names."""
    hints = typing.get_type_hints(message_type)
    return message_type(
        *(
            sample(hints[name], f"f{position}" + "x" * position)
            for position, name in enumerate(message_type._fields)
        )
    )


def describe(number: int, message_type: Any) -> dict[str, Any]:
    """Return the wire format of a message type and the counter of messages sent."""
    message = sample_message(message_type)
    metrics = Metrics()
    settings = settings_from(
        {
            "box": _BOX,
            "zone": "a",
            "roles": ["entry"],
            "listen": _BOX,
            "seeds": [_PEER],
            "http": {"host": "127.0.0.1", "port": 1},
        }
    )
    network = PeerNetwork(settings, 1, metrics)
    network.add_peer(_PEER)
    network.send(_PEER, message)
    body = bytes(messages.encode_body(message))
    frame = messages.Frame(number, 0, 0, 0, msgspec.Raw(body))
    decoded = messages.decode_body(frame)
    assert bytes(messages.encode_body(decoded)) == body, message_type
    return {
        "number": messages.kind_of(message),
        "fields": list(message_type._fields),
        "optional": len(message_type._field_defaults),
        "bytes": body.hex(),
        "counter": next(iter(metrics.counts)),
    }


def main() -> None:
    """Print the messages registered by the modules on the command line."""
    for module in sys.argv[1:]:
        importlib.import_module(module)
    rows = [describe(number, kind) for number, kind in sorted(messages._TYPE_BY_KIND.items())]
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
