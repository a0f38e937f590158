# SPDX-License-Identifier: MIT
"""Codec for messages between boxes: msgpack-encoded NamedTuples, batched in envelopes.

Owns the registry of message types by number. For rolling upgrades, fields are only added at the end
of a message, with a default, and unknown trailing fields are ignored.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec

_ENCODER = msgspec.msgpack.Encoder()
_TYPE_BY_KIND: dict[int, type] = {}
_KIND_BY_TYPE: dict[type, int] = {}
_METRIC_NAME_BY_TYPE: dict[type, str] = {}
_DECODER_BY_KIND: dict[int, msgspec.msgpack.Decoder[Any]] = {}

MessageType = TypeVar("MessageType", bound=type)


class Frame(NamedTuple):
    """One message in an envelope.

    Args:
        kind: Registered number of the message type.
        id: Request id assigned by the sender; 0 if no reply is expected.
        reply_to: Id of the request that this message replies to; 0 if it is no reply.
        ttl_ms: Time-to-live after sending, in milliseconds.
        body: Encoded message.
    """

    kind: int
    id: int
    reply_to: int
    ttl_ms: int
    body: msgspec.Raw


class Envelope(NamedTuple):
    """A batch of messages from one box to another.

    Args:
        sender: Name of the sending box.
        incarnation: Incarnation of the sender.
        sent_ms: Send time by the sender's monotonic clock, in milliseconds.
        frames: Messages, oldest first.
    """

    sender: str
    incarnation: int
    sent_ms: int
    frames: list[Frame]


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


def register(kind: int, message_type: MessageType, counted_as: str = "") -> MessageType:
    """Register *message_type* under its number on the wire; numbers are never reused.

    Args:
        kind: Number of the message type.
        message_type: A NamedTuple class.
        counted_as: Name in the counter of sent messages, if it differs from the class name. Keeps
            the metric name stable when a class is renamed.

    Raises:
        ValueError: The number is already registered.
    """
    if kind in _TYPE_BY_KIND:
        raise ValueError(f"kind {kind} is already registered for {_TYPE_BY_KIND[kind].__name__}")
    _TYPE_BY_KIND[kind] = message_type
    _KIND_BY_TYPE[message_type] = kind
    _METRIC_NAME_BY_TYPE[message_type] = counted_as or message_type.__name__
    _DECODER_BY_KIND[kind] = msgspec.msgpack.Decoder(message_type)
    return message_type


def kind_of(message: object) -> int:
    """Return the registered number of the type of *message*."""
    return _KIND_BY_TYPE[type(message)]


def counted_as(message: object) -> str:
    """Return the name of the type of *message* in the counter of sent messages."""
    return _METRIC_NAME_BY_TYPE[type(message)]


def encode_body(message: object) -> msgspec.Raw:
    """Return *message* encoded as the body of a frame."""
    return msgspec.Raw(_ENCODER.encode(message))


def encode_envelope(envelope: Envelope) -> bytes:
    """Return *envelope* encoded."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope.

    Raises:
        msgspec.DecodeError: *data* is not an envelope.
    """
    return _ENVELOPE_DECODER.decode(data)


def decode_body(frame: Frame) -> Any:
    """Return the decoded message of *frame*; unknown trailing fields are ignored.

    Raises:
        msgspec.DecodeError: The kind is unknown or the fields are invalid.
    """
    decoder = _DECODER_BY_KIND.get(frame.kind)
    if decoder is None:
        raise msgspec.DecodeError(f"unknown message kind {frame.kind}")
    try:
        return decoder.decode(frame.body)
    except msgspec.ValidationError:
        fields = msgspec.msgpack.decode(frame.body)
        message_type = _TYPE_BY_KIND[frame.kind]
        known = len(message_type._fields)  # type: ignore[attr-defined]
        if not isinstance(fields, list) or len(fields) <= known:
            raise
        return msgspec.convert(fields[:known], message_type)
