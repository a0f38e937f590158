# SPDX-License-Identifier: MIT
"""Submission ids, content digests and incarnation numbers.

Owns nothing. Relies on the wall clock for incarnations: a process that starts later has a higher
one unless the clock went back.
"""

from __future__ import annotations

import hashlib
import re
import time

import msgspec

SUBMISSION_PATTERN = re.compile(r"^(?:(?P<zone>[A-Za-z0-9_.-]{1,32})~)?[A-Za-z0-9_.:-]{1,128}$")
# 128 bits: two contents with one digest are not to be expected.
_DIGEST_BYTES = 16
_CANONICAL = msgspec.json.Encoder(order="sorted")


def is_valid_submission(submission: str) -> bool:
    """Return whether *submission* is a well-formed id (``rest`` or ``zone~rest``)."""
    return SUBMISSION_PATTERN.match(submission) is not None


def zone_of(submission: str) -> str:
    """Return the availability zone that *submission* is tagged with, or an empty string."""
    match = SUBMISSION_PATTERN.match(submission)
    if match is None:
        return ""
    return match.group("zone") or ""


def content_digest(content: object) -> str:
    """Return a digest of JSON-like *content*; key order does not matter."""
    return hashlib.blake2b(_CANONICAL.encode(content), digest_size=_DIGEST_BYTES).hexdigest()


def new_incarnation() -> int:
    """Return this process's incarnation: wall-clock milliseconds, higher after a restart."""
    return time.time_ns() // 1_000_000
