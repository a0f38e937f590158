# SPDX-License-Identifier: MIT
"""The codec for messages between boxes: NamedTuples in msgpack, grouped in envelopes.

Owns the registry of messages by number and type. Relies on msgspec.

Fields are only ever added at a message's end, with a default. A longer tuple than this
release knows is cut to the fields that it knows, so that a rolling upgrade works.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec

_ENCODER = msgspec.msgpack.Encoder()
_KINDS: dict[int, type] = {}
_KIND_BY_TYPE: dict[type, int] = {}
_METRIC_NAME_BY_TYPE: dict[type, str] = {}
_DECODER_BY_KIND: dict[int, msgspec.msgpack.Decoder[Any]] = {}

MessageType = TypeVar("MessageType", bound=type)


class Frame(NamedTuple):
    """One message inside an envelope.

    Args:
        kind: The registered number of the message's type.
        id: The sender's number for a request; 0 if no reply is wanted.
        reply_to: The request that this answers; 0 if it is none.
        ttl_ms: How long the message is of use after it was sent.
        body: The encoded message.
    """

    kind: int
    id: int
    reply_to: int
    ttl_ms: int
    body: msgspec.Raw


class Envelope(NamedTuple):
    """All messages that one box had for another at one moment.

    Args:
        sender: The sending box.
        incarnation: The sender's incarnation.
        sent_ms: The sender's monotonic clock at sending, milliseconds.
        frames: The messages, oldest first.
    """

    sender: str
    incarnation: int
    sent_ms: int
    frames: list[Frame]


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


def register(kind: int, message_type: MessageType, counted_as: str = "") -> MessageType:
    """Give *message_type* its number on the wire; numbers are never used again.

    Args:
        kind: The number.
        message_type: A NamedTuple.
        counted_as: Its name in the counter of sent messages, if that is not the class's: the
            names of metrics stay when a class is renamed.

    Raises:
        ValueError: The number is taken.
    """
    if kind in _KINDS:
        raise ValueError(f"kind {kind} is taken by {_KINDS[kind].__name__}")
    _KINDS[kind] = message_type
    _KIND_BY_TYPE[message_type] = kind
    _METRIC_NAME_BY_TYPE[message_type] = counted_as or message_type.__name__
    _DECODER_BY_KIND[kind] = msgspec.msgpack.Decoder(message_type)
    return message_type


def kind_of(message: object) -> int:
    """Return the registered number of *message*'s type."""
    return _KIND_BY_TYPE[type(message)]


def counted_as(message: object) -> str:
    """Return the name under which sent messages of *message*'s type are counted."""
    return _METRIC_NAME_BY_TYPE[type(message)]


def encode_body(message: object) -> msgspec.Raw:
    """Return *message* encoded for a frame."""
    return msgspec.Raw(_ENCODER.encode(message))


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of *envelope*."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in *data*.

    Raises:
        msgspec.DecodeError: The bytes are no envelope.
    """
    return _ENVELOPE_DECODER.decode(data)


def decode_body(frame: Frame) -> Any:
    """Return the message in *frame*; extra trailing fields are dropped.

    Raises:
        msgspec.DecodeError: The kind is unknown or the fields are wrong.
    """
    decoder = _DECODER_BY_KIND.get(frame.kind)
    if decoder is None:
        raise msgspec.DecodeError(f"unknown message kind {frame.kind}")
    try:
        return decoder.decode(frame.body)
    except msgspec.ValidationError:
        fields = msgspec.msgpack.decode(frame.body)
        message_type = _KINDS[frame.kind]
        known = len(message_type._fields)  # type: ignore[attr-defined]
        if not isinstance(fields, list) or len(fields) <= known:
            raise
        return msgspec.convert(fields[:known], message_type)
