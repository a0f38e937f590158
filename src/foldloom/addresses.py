# SPDX-License-Identifier: MIT
"""Validation of textual box addresses."""

from __future__ import annotations

import ipaddress


def is_address(text: str) -> bool:
    """Return whether *text* has the form ``IP:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        # Host names are not resolved.
        return False
    return port.isdigit() and 1 <= int(port) <= 65535
