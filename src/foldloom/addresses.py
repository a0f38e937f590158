# SPDX-License-Identifier: MIT
"""Addresses of boxes, as text.

Owns nothing. Relies on no other module.
"""

from __future__ import annotations

import ipaddress


def is_address(text: str) -> bool:
    """Return whether *text* is ``IP:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        # The host is no IP address: the caller names the key.
        return False
    return port.isdigit() and 1 <= int(port) <= 65535
