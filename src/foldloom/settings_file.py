# SPDX-License-Identifier: MIT
"""Loading and validation of settings: types by msgspec, then consistency between fields.

Errors name the dotted key; for an unknown key they suggest the closest known one.
"""

from __future__ import annotations

import difflib
import ipaddress
import re
from pathlib import Path
from typing import Any

import msgspec
import yaml

from foldloom.addresses import is_address
from foldloom.exceptions import SettingsError
from foldloom.settings import (
    CONTROLLER,
    POLICY_NAMES,
    ROLES,
    HttpSettings,
    LimitSettings,
    LogSettings,
    PeerSettings,
    Settings,
    StatsdSettings,
    TimingSettings,
)


def load_settings(path: str) -> Settings:
    """Load and validate the settings file at *path*.

    Raises:
        SettingsError: The file is unreadable or a field is invalid.
    """
    try:
        raw = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError(path, "", reason) from error
    if not isinstance(raw, dict):
        raise SettingsError(path, "", "expected a mapping at the top level")
    return settings_from(raw, path)


def settings_from(raw: dict[str, Any], path: str = "<settings>") -> Settings:
    """Validate the mapping *raw* and return the settings.

    Raises:
        SettingsError: A field is invalid.
    """
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        key, reason = _key_and_reason(str(error))
        raise SettingsError(path, key, reason) from error
    _check_consistency(settings, path)
    return settings


def _key_and_reason(message: str) -> tuple[str, str]:
    """Split a msgspec validation *message* into the dotted key and the reason."""
    reason, _, location = message.partition(" - at `$")
    key = location.rstrip("`").lstrip(".")
    match = re.match(r"Object contains unknown field `(.+)`", reason)
    if match is None:
        missing = re.match(r"Object missing required field `(.+)`", reason)
        if missing is not None:
            return ".".join(filter(None, (key, missing.group(1)))), "is required"
        return key, reason
    unknown = match.group(1)
    known_names = _field_names(key)
    nearest = difflib.get_close_matches(unknown, known_names, n=1, cutoff=0.0)
    hint = f"; did you mean {nearest[0]}?" if nearest else ""
    return ".".join(filter(None, (key, unknown))), f"unknown key{hint}"


def _field_names(key: str) -> list[str]:
    """Return the known field names of the mapping at the dotted *key*."""
    section = key.partition(".")[0].partition("[")[0]
    sections: dict[str, type[msgspec.Struct]] = {
        "http": HttpSettings,
        "peers": PeerSettings,
        "limits": LimitSettings,
        "timings": TimingSettings,
        "logs": LogSettings,
        "statsd": StatsdSettings,
    }
    owner = sections.get(section, Settings)
    return [field.encode_name for field in msgspec.structs.fields(owner)]


def _check_consistency(settings: Settings, path: str) -> None:
    """Check the consistency of fields with each other.

    Raises:
        SettingsError: Two fields contradict each other.
    """
    for peer in settings.peers:
        unknown_roles = set(peer.roles) - set(ROLES)
        if unknown_roles:
            raise SettingsError(path, "peers.roles", f"unknown role {min(unknown_roles)}")
        _check_address(peer.address, "peers.address", path)
    _check_address(settings.listen, "listen", path)
    if settings.seeds:
        _check_local_settings(settings, path)
        _check_seeds(settings, path)
        return
    names = [peer.box for peer in settings.peers]
    if len(set(names)) != len(names):
        raise SettingsError(path, "peers", "two peers have the same box name")
    own_entries = [peer for peer in settings.peers if peer.box == settings.box]
    if not own_entries:
        raise SettingsError(path, "box", "this box is not among the peers")
    if own_entries[0].zone != settings.zone or sorted(own_entries[0].roles) != sorted(
        settings.roles
    ):
        raise SettingsError(
            path, "peers", "zone or roles differ from the entry of this box in peers"
        )
    _check_local_settings(settings, path)
    _check_keys(settings, path)


def _check_local_settings(settings: Settings, path: str) -> None:
    """Check the fields that concern only this box.

    Raises:
        SettingsError: Two fields contradict each other.
    """
    if CONTROLLER in settings.roles and not settings.data_folder:
        raise SettingsError(path, "data_folder", "is required for a controller")
    if settings.policy not in POLICY_NAMES:
        raise SettingsError(path, "policy", f"must be one of {', '.join(POLICY_NAMES)}")
    if settings.metrics_address:
        _check_address(settings.metrics_address, "metrics_address", path)
    if settings.logs.format not in ("text", "json"):
        raise SettingsError(path, "logs.format", "must be text or json")
    if bool(settings.http.tls_certificate_file) != bool(settings.http.tls_key_file):
        raise SettingsError(
            path, "http.tls_key_file", "tls_certificate_file and tls_key_file must be set together"
        )


def _check_seeds(settings: Settings, path: str) -> None:
    """Check the settings of a box that uses seed discovery.

    Raises:
        SettingsError: Two fields contradict each other.
    """
    if settings.peers:
        raise SettingsError(path, "peers", "peers and seeds are mutually exclusive")
    for seed in settings.seeds:
        _check_address(seed, "seeds", path)
    if settings.box != settings.listen:
        raise SettingsError(path, "box", "must equal the listen address when seeds are used")
    if settings.secret_key_file:
        raise SettingsError(path, "secret_key_file", "CURVE keys are not supported with seeds")
    is_loopback = ipaddress.ip_address(settings.listen.rpartition(":")[0]).is_loopback
    if not is_loopback and not settings.plaintext_peers:
        reason = "must be true to run without keys off the loopback address"
        raise SettingsError(path, "plaintext_peers", reason)


def _check_address(address: str, key: str, path: str) -> None:
    """Check that *address* has the form ``IP:port``.

    Raises:
        SettingsError: It does not.
    """
    if not is_address(address):
        raise SettingsError(path, key, f"{address!r} is not IP:port")


def _check_keys(settings: Settings, path: str) -> None:
    """Check that CURVE keys are set, unless every address is on loopback.

    Raises:
        SettingsError: A key is missing.
    """
    if settings.secret_key_file:
        missing = [peer.box for peer in settings.peers if not peer.public_key]
        if missing:
            raise SettingsError(path, "peers.public_key", f"is required for {missing[0]}")
        return
    hosts = [peer.address.rpartition(":")[0] for peer in settings.peers]
    hosts.append(settings.listen.rpartition(":")[0])
    if any(not ipaddress.ip_address(host).is_loopback for host in hosts):
        raise SettingsError(path, "secret_key_file", "is required off the loopback address")
