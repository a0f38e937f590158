# SPDX-License-Identifier: MIT
"""Validation of settings; errors name the key and the reason."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import pytest
import yaml

from foldloom.exceptions import SettingsError
from foldloom.settings_file import load_settings, settings_from

_GOOD: dict[str, Any] = {
    "box": "a1",
    "zone": "a",
    "roles": ["entry"],
    "listen": "127.0.0.1:7001",
    "http": {"host": "127.0.0.1", "port": 8101},
    "peers": [{"box": "a1", "zone": "a", "roles": ["entry"], "address": "127.0.0.1:7001"}],
}
_EXAMPLES = Path(__file__).parent.parent / "examples"


class TestCheck:
    """Guards against invalid settings that are accepted or reported unclearly."""

    @pytest.mark.parametrize(
        ("change", "key", "reason"),
        [
            ({"zonne": "a"}, "zonne", "did you mean zone?"),
            ({"timings": {"heartbeet_ms": 1}}, "timings.heartbeet_ms", "heartbeat_ms"),
            ({"limits": {"retry_share": 2}}, "limits.retry_share", "<= 1"),
            ({"http": {"host": "127.0.0.1", "port": "x"}}, "http.port", "int"),
            ({"box": "b1"}, "box", "not among the peers"),
            ({"roles": ["entry", "controller"]}, "peers", "differ"),
            ({"listen": "10.0.0.1:7001"}, "secret_key_file", "is required"),
            ({"logs": {"format": "xml"}}, "logs.format", "text or json"),
            ({"policy": "best"}, "policy", "slot-leases"),
            ({"listen": "localhost:1"}, "listen", "not IP:port"),
            ({"metrics_address": "9464"}, "metrics_address", "not IP:port"),
        ],
    )
    def test_names_key_and_reason(self, change: dict[str, Any], key: str, reason: str) -> None:
        """An invalid field is rejected with its dotted key and a reason."""
        raw = {**copy.deepcopy(_GOOD), **change}
        with pytest.raises(SettingsError) as caught:
            settings_from(raw)
        assert caught.value.key == key
        assert reason in caught.value.reason

    def test_missing_field(self) -> None:
        """A missing required field is named."""
        raw = {key: value for key, value in _GOOD.items() if key != "zone"}
        with pytest.raises(SettingsError) as caught:
            settings_from(raw)
        assert (caught.value.key, caught.value.reason) == ("zone", "is required")

    def test_broken_yaml(self, tmp_path: Path) -> None:
        """A file that is not valid YAML is rejected, and the error names the path."""
        path = tmp_path / "broken.yaml"
        path.write_text("a: [")
        with pytest.raises(SettingsError, match=r"broken\.yaml"):
            load_settings(str(path))

    def test_examples_are_good(self) -> None:
        """The examples are valid settings."""
        paths = sorted(_EXAMPLES.glob("*.yaml"))
        assert len(paths) >= 2
        for path in paths:
            load_settings(str(path))

    def test_defaults_cover_good(self, tmp_path: Path) -> None:
        """Settings with only the required fields are valid."""
        path = tmp_path / "good.yaml"
        path.write_text(yaml.safe_dump(_GOOD))
        assert load_settings(str(path)).timings.heartbeat_ms > 0
