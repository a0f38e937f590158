# SPDX-License-Identifier: MIT
"""Settings and intents used for the recorded formats."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "box": "a1",
    "zone": "a",
    "roles": ["entry"],
    "listen": "127.0.0.1:7001",
    "http": {"host": "127.0.0.1", "port": 8101},
    "peers": [
        {"box": "a1", "zone": "a", "roles": ["entry"], "address": "127.0.0.1:7001"},
        {
            "box": "c1",
            "zone": "a",
            "roles": ["controller"],
            "address": "127.0.0.1:7002",
            "http_url": "http://127.0.0.1:8102",
        },
    ],
}
INTENTS: list[dict[str, Any]] = [
    {"kind": "service", "name": "s", "workers": ["w*"], "concurrency_max": 3},
    {"kind": "worker", "name": "w1", "endpoint": "http://127.0.0.1:1", "zone": "a", "slots": 2},
    {"kind": "worker", "name": "w2", "endpoint": "http://127.0.0.1:2", "zone": "b"},
    {"kind": "worker-leaving", "name": "w2"},
    {"kind": "member", "name": "m", "quota": 2},
    {"kind": "box-joining", "name": "b1", "zone": "b"},
]
