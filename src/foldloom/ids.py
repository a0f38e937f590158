# SPDX-License-Identifier: MIT
"""Submission ids, content digests and incarnation numbers."""

from __future__ import annotations

import hashlib
import re
import time

import msgspec

SUBMISSION_PATTERN = re.compile(r"^(?:(?P<zone>[A-Za-z0-9_.-]{1,32})~)?[A-Za-z0-9_.:-]{1,128}$")
# 128 bits make a collision negligible.
_DIGEST_BYTES = 16
_CANONICAL = msgspec.json.Encoder(order="sorted")


def is_valid_submission(submission: str) -> bool:
    """Return whether *submission* is a valid submission id (``id`` or ``zone~id``)."""
    return SUBMISSION_PATTERN.match(submission) is not None


def zone_of(submission: str) -> str:
    """Return the availability zone in the prefix of *submission*, or an empty string."""
    match = SUBMISSION_PATTERN.match(submission)
    if match is None:
        return ""
    return match.group("zone") or ""


def content_digest(content: object) -> str:
    """Return a hexadecimal digest of JSON-like *content*, independent of key order."""
    return hashlib.blake2b(_CANONICAL.encode(content), digest_size=_DIGEST_BYTES).hexdigest()


def new_incarnation() -> int:
    """Return an incarnation number for this process, in wall-clock milliseconds.

    It increases with each restart unless the wall clock is set back.
    """
    return time.time_ns() // 1_000_000
