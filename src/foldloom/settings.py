# SPDX-License-Identifier: MIT
"""The daemon's settings: a YAML file, every field checked, units in the names.

Keys are promises to operators. Where a key uses an older word than the code (``worker``,
``member``), ``msgspec.field(name=...)`` maps it to the attribute.
"""

from __future__ import annotations

import difflib
import ipaddress
import re
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml
from msgspec import Meta

from foldloom.exceptions import SettingsError

Port = Annotated[int, Meta(ge=1, le=65535)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.:-]{1,32}$")]

ENTRY = "entry"
CONTROLLER = "controller"
POLICY_NAMES = ("slot-leases", "power-of-two", "least-local-count", "random")
_ROLES = (ENTRY, CONTROLLER)


class HttpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where callers and operators reach this box, and the bounds on what they send."""

    host: str
    port: Port
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    body_max_bytes: PositiveInt = 8 * 1024 * 1024
    header_timeout_ms: PositiveInt = 10_000
    body_timeout_ms: PositiveInt = 30_000
    connections_max: PositiveInt = 2_000


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One box of the system, this one included.

    ``address`` is ``IP:port`` of its peer socket, as seen from this box. ``http_url`` is accepted
    and ignored: nothing reads it any more, but files that hold it must still load.
    """

    box: Name
    zone: Name
    roles: list[str]
    address: str
    http_url: str = ""
    public_key: str = ""


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on jobs, queues, retries and what is kept in memory."""

    tasks_per_job_max: PositiveInt = 2_000
    jobs_in_flight_max: PositiveInt = 4_000
    queued_tasks_max: PositiveInt = 4_000
    queued_tasks_per_customer_max: PositiveInt = msgspec.field(
        default=4_000, name="queued_tasks_per_member_max"
    )
    connections_per_endpoint: PositiveInt = msgspec.field(default=64, name="connections_per_worker")
    answer_max_bytes: PositiveInt = 1024 * 1024
    retained_jobs_max: PositiveInt = 200_000
    retained_bytes_max: PositiveInt = 256 * 1024 * 1024
    claims_max: PositiveInt = 1_000_000
    retry_share: Share = 0.1
    ejected_share_max: Share = 0.34
    lease_shard_endpoints: PositiveInt = msgspec.field(default=64, name="lease_shard_workers")


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and time-outs, all in milliseconds."""

    heartbeat_ms: PositiveInt = 250
    peer_silent_ms: PositiveInt = 1_000
    deadline_default_ms: PositiveInt = 30_000
    deadline_max_ms: PositiveInt = 60_000
    resubmission_window_ms: PositiveInt = 120_000
    claim_timeout_ms: PositiveInt = 300
    claim_hedge_ms: PositiveInt = 15
    lease_ttl_ms: PositiveInt = 2_000
    election_timeout_ms: PositiveInt = 600
    sync_delay_ms: NonNegativeInt = 0
    stop_timeout_ms: PositiveInt = 70_000
    platform_poll_ms: PositiveInt = 500
    ejection_ms: PositiveInt = 2_000
    join_ms: PositiveInt = 250
    owner_heartbeat_ms: PositiveInt = msgspec.field(default=100, name="owner_beat_ms")
    owner_silent_ms: PositiveInt = 400
    session_ms: PositiveInt = 400
    endpoint_lease_ms: PositiveInt = msgspec.field(default=600, name="worker_lease_ms")
    drain_ms: PositiveInt = 2_500


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where log lines go: a file, or standard output if ``file`` is empty."""

    level: str = "INFO"
    format: str = "text"
    file: str = ""


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The statsd server; no metrics are sent while ``host`` is empty."""

    host: str = ""
    port: Port = 8125
    prefix: str = "foldloom"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole settings file of one box.

    The other boxes are either all listed in ``peers``, or found through ``seeds``: addresses
    (``IP:port``) of some controllers. With seeds a box's name is its own address.

    .. versionadded:: 0.1.0
    """

    box: Name
    zone: Name
    roles: list[str]
    http: HttpSettings
    listen: str
    peers: list[PeerSettings] = []
    seeds: list[str] = []
    plaintext_peers: bool = False
    data_folder: str = ""
    secret_key_file: str = ""
    operator_tokens_file: str = ""
    endpoint_ca_file: str = msgspec.field(default="", name="worker_ca_file")
    platform_url: str = ""
    metrics_address: str = ""
    policy: str = "slot-leases"
    limits: LimitSettings = LimitSettings()
    timings: TimingSettings = TimingSettings()
    logs: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()

    @property
    def entry_names(self) -> list[str]:
        """Names of all boxes with the entry role."""
        return [peer.box for peer in self.peers if ENTRY in peer.roles]

    @property
    def controller_names(self) -> list[str]:
        """Names of all boxes with the controller role."""
        return [peer.box for peer in self.peers if CONTROLLER in peer.roles]

    @property
    def retention_ms(self) -> int:
        """How long claims and answers are kept: a whole job and the resubmission window."""
        return self.timings.deadline_max_ms + self.timings.resubmission_window_ms


def load_settings(path: str) -> Settings:
    """Read and check the settings file at *path*.

    Raises:
        SettingsError: The file is unreadable or a field is wrong; names key and reason.
    """
    try:
        raw = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError(path, "", reason) from error
    if not isinstance(raw, dict):
        raise SettingsError(path, "", "expected a mapping at the top")
    return settings_from(raw, path)


def settings_from(raw: dict[str, Any], path: str = "<settings>") -> Settings:
    """Check the mapping *raw* and return the settings.

    Raises:
        SettingsError: A field is wrong.
    """
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        key, reason = _explain(str(error))
        raise SettingsError(path, key, reason) from error
    _check_whole(settings, path)
    return settings


def _explain(message: str) -> tuple[str, str]:
    """Split a checker's *message* into the dotted key and the reason."""
    reason, _, at = message.partition(" - at `$")
    key = at.rstrip("`").lstrip(".")
    match = re.match(r"Object contains unknown field `(.+)`", reason)
    if match is None:
        missing = re.match(r"Object missing required field `(.+)`", reason)
        if missing is not None:
            return ".".join(filter(None, (key, missing.group(1)))), "is required"
        return key, reason
    unknown = match.group(1)
    known = _field_names(key)
    nearest = difflib.get_close_matches(unknown, known, n=1, cutoff=0.0)
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


def _check_whole(settings: Settings, path: str) -> None:
    """Check what no single field can tell.

    Raises:
        SettingsError: Two fields contradict each other.
    """
    for peer in settings.peers:
        unknown_roles = set(peer.roles) - set(_ROLES)
        if unknown_roles:
            raise SettingsError(path, "peers.roles", f"unknown role {min(unknown_roles)}")
        _check_address(peer.address, "peers.address", path)
    _check_address(settings.listen, "listen", path)
    if settings.seeds:
        _check_own(settings, path)
        _check_seeds(settings, path)
        return
    names = [peer.box for peer in settings.peers]
    if len(set(names)) != len(names):
        raise SettingsError(path, "peers", "a box is listed twice")
    own = [peer for peer in settings.peers if peer.box == settings.box]
    if not own:
        raise SettingsError(path, "box", "this box is not among the peers")
    if own[0].zone != settings.zone or sorted(own[0].roles) != sorted(settings.roles):
        raise SettingsError(path, "peers", "zone or roles of this box differ from its own entry")
    _check_own(settings, path)
    _check_keys(settings, path)


def _check_own(settings: Settings, path: str) -> None:
    """Check the fields that say nothing of other boxes.

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
        raise SettingsError(path, "http.tls_key_file", "certificate and key go together")


def _check_seeds(settings: Settings, path: str) -> None:
    """Check a box that finds the others through seeds.

    Raises:
        SettingsError: Two fields contradict each other.
    """
    if settings.peers:
        raise SettingsError(path, "peers", "peers and seeds exclude each other")
    for seed in settings.seeds:
        _check_address(seed, "seeds", path)
    if settings.box != settings.listen:
        raise SettingsError(path, "box", "with seeds a box is named by its listen address")
    if settings.secret_key_file:
        raise SettingsError(path, "secret_key_file", "keys need every peer in the settings")
    is_loopback = ipaddress.ip_address(settings.listen.rpartition(":")[0]).is_loopback
    if not is_loopback and not settings.plaintext_peers:
        reason = "must be true to run without keys off the loopback address"
        raise SettingsError(path, "plaintext_peers", reason)


def is_address(text: str) -> bool:
    """Return whether *text* is ``IP:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        # The host is no IP address: the caller names the key.
        return False
    return port.isdigit() and 1 <= int(port) <= 65535


def _check_address(address: str, key: str, path: str) -> None:
    """Check that *address* is ``IP:port``."""
    if not is_address(address):
        raise SettingsError(path, key, f"{address!r} is not IP:port")


def _check_keys(settings: Settings, path: str) -> None:
    """Peers may go without keys only while every address is on loopback."""
    if settings.secret_key_file:
        missing = [peer.box for peer in settings.peers if not peer.public_key]
        if missing:
            raise SettingsError(path, "peers.public_key", f"is required for {missing[0]}")
        return
    hosts = [peer.address.rpartition(":")[0] for peer in settings.peers]
    hosts.append(settings.listen.rpartition(":")[0])
    if any(not ipaddress.ip_address(host).is_loopback for host in hosts):
        raise SettingsError(path, "secret_key_file", "is required off the loopback address")
