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

    # IP address to listen on.
    host: str
    # Port to listen on.
    port: Port
    # Certificate chain in PEM; with the key, HTTP is served over TLS.
    tls_certificate_file: str = ""
    # Its private key in PEM.
    tls_key_file: str = ""
    # Bytes of a request's body; larger ones get 413. Not measured.
    body_max_bytes: PositiveInt = 8 * 1024 * 1024
    # Milliseconds for the first request head of a connection. Not measured.
    header_timeout_ms: PositiveInt = 10_000
    # Milliseconds for a body; slower ones get 408. Not measured.
    body_timeout_ms: PositiveInt = 30_000
    # Connections at a time; more are closed at once. Not measured: chosen below the 4,096
    # descriptors of the users' boxes.
    connections_max: PositiveInt = 2_000


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One box of the system, this one included.

    ``address`` is ``IP:port`` of its peer socket, as seen from this box. ``http_url`` is accepted
    and ignored: nothing reads it any more, but files that hold it must still load.
    """

    # The box's name.
    box: Name
    # Its availability zone.
    zone: Name
    # `entry`, `controller` or both.
    roles: list[str]
    # `IP:port` of its peer socket, as seen from this box.
    address: str
    # Accepted and ignored.
    http_url: str = ""
    # Its CURVE key, Z85; required off loopback.
    public_key: str = ""


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on jobs, queues, retries and what is kept in memory."""

    # Tasks of a job; more get 413. Not measured: chosen above the 1,700 of the size to design for.
    tasks_per_job_max: PositiveInt = 2_000
    # Jobs that run on a box at a time. Not measured.
    jobs_in_flight_max: PositiveInt = 4_000
    # Tasks that wait at one lease manager. Not measured.
    queued_tasks_max: PositiveInt = 4_000
    # The same of one customer. Not measured.
    queued_tasks_per_customer_max: PositiveInt = msgspec.field(
        default=4_000, name="queued_tasks_per_member_max"
    )
    # Connections to one endpoint: what the users' endpoints take.
    connections_per_endpoint: PositiveInt = msgspec.field(default=64, name="connections_per_worker")
    # Bytes of a task's answer. Not measured.
    answer_max_bytes: PositiveInt = 1024 * 1024
    # Answers that are kept for resubmissions. Not measured.
    retained_jobs_max: PositiveInt = 200_000
    # Bytes of these answers. Not measured.
    retained_bytes_max: PositiveInt = 256 * 1024 * 1024
    # Claims that a replica holds; at some 280 bytes each (docs/CAPACITY.md).
    claims_max: PositiveInt = 1_000_000
    # Share of recent starts that may be retries, so that a failing zone makes no storm. Not
    # measured.
    retry_share: Share = 0.1
    # Share of a shard's endpoints that may be left out as sick at a time. Not measured: chosen as
    # one of three.
    ejected_share_max: Share = 0.34
    # Endpoints above which a zone's slots are shared between lease managers. Not measured.
    lease_shard_endpoints: PositiveInt = msgspec.field(default=64, name="lease_shard_workers")


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and time-outs, all in milliseconds."""

    # Between two heartbeats to each box. Not measured: chosen so that several may be lost before a
    # box counts as silent.
    heartbeat_ms: PositiveInt = 250
    # Silence after which a box counts as gone. Derived: four heartbeats.
    peer_silent_ms: PositiveInt = 1_000
    # A job's deadline if it names none.
    deadline_default_ms: PositiveInt = 30_000
    # The longest deadline; longer ones are cut to it.
    deadline_max_ms: PositiveInt = 60_000
    # For how long after its deadline a submission is remembered.
    resubmission_window_ms: PositiveInt = 120_000
    # For all votes of a claim. Not measured: chosen far above a round trip between zones.
    claim_timeout_ms: PositiveInt = 300
    # Until the third replica is asked as well. Not measured: chosen above the usual vote, which
    # takes some milliseconds under load.
    claim_hedge_ms: PositiveInt = 15
    # A slot's lease without a renewal. Not measured.
    lease_ttl_ms: PositiveInt = 2_000
    # Silence of the leader after which a controller stands; drawn up to twice that. Not measured:
    # chosen far above a sync of the users' disks (9 ms) and a round trip.
    election_timeout_ms: PositiveInt = 600
    # Added to each sync, to stand for a slower disk in benchmarks.
    sync_delay_ms: NonNegativeInt = 0
    # Bound of a planned stop. Derived: above the longest deadline.
    stop_timeout_ms: PositiveInt = 70_000
    # Between two polls of the platform's list of boxes.
    platform_poll_ms: PositiveInt = 500
    # For how long a sick endpoint is left out before it is probed. Not measured.
    ejection_ms: PositiveInt = 2_000
    # Between two joins of each controller (seed discovery). Not measured.
    join_ms: PositiveInt = 250
    # Between two heartbeats of a zone's owner. Not measured.
    owner_heartbeat_ms: PositiveInt = msgspec.field(default=100, name="owner_beat_ms")
    # Silence after which an owner is replaced. Derived: four of its heartbeats; on loopback a zone
    # was without an owner for 444 to 527 ms.
    owner_silent_ms: PositiveInt = 400
    # For how long an acknowledged heartbeat lets an owner run a box's tasks. Derived: as an owner's
    # silence, so that a new owner need not wait for the old one's right.
    session_ms: PositiveInt = 400
    # Lease of what runs on an endpoint. Not measured: chosen so that two polls (200 ms) may be
    # lost.
    endpoint_lease_ms: PositiveInt = msgspec.field(default=600, name="worker_lease_ms")
    # From a planned stop to the end of new connections. Derived: above the two seconds after which
    # the users' balancer leaves a box that is not ready.
    drain_ms: PositiveInt = 2_500


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where log lines go: a file, or standard output if ``file`` is empty."""

    # The least level that is written.
    level: str = "INFO"
    # `text` or `json`.
    format: str = "text"
    # A file; standard output if empty.
    file: str = ""


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The statsd server; no metrics are sent while ``host`` is empty."""

    # The statsd server; empty sends nothing.
    host: str = ""
    # Its port.
    port: Port = 8125
    # In front of every name.
    prefix: str = "foldloom"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole settings file of one box.

    The other boxes are either all listed in ``peers``, or found through ``seeds``: addresses
    (``IP:port``) of some controllers. With seeds a box's name is its own address.

    .. versionadded:: 0.1.0
    """

    # This box's name; with seeds its listen address.
    box: Name
    # Its availability zone.
    zone: Name
    # `entry`, `controller` or both.
    roles: list[str]
    # Where callers and operators reach this box.
    http: HttpSettings
    # `IP:port` of the peer socket.
    listen: str
    # All boxes, this one included; or none, with seeds.
    peers: list[PeerSettings] = []
    # `IP:port` of some controllers, through which the others are found.
    seeds: list[str] = []
    # Must be true to run with seeds, which know no keys, off the loopback address.
    plaintext_peers: bool = False
    # A controller's data folder; on other boxes where the configuration is cached.
    data_folder: str = ""
    # This box's CURVE key; required off loopback with peers.
    secret_key_file: str = ""
    # Bearer tokens of operators, one a line; without it no operator is let in.
    operator_tokens_file: str = ""
    # Certificates that endpoints over HTTPS are checked against.
    endpoint_ca_file: str = msgspec.field(default="", name="worker_ca_file")
    # Where the platform lists boxes that are leaving; empty for none.
    platform_url: str = ""
    # `IP:port` where metrics are served as text; empty serves none.
    metrics_address: str = ""
    # How slots are chosen; all but `slot-leases` are baselines to measure against.
    policy: str = "slot-leases"
    # Bounds on jobs, queues, retries and memory.
    limits: LimitSettings = LimitSettings()
    # Intervals and time-outs.
    timings: TimingSettings = TimingSettings()
    # Where log lines go.
    logs: LogSettings = LogSettings()
    # Where metrics are sent.
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
    """Check the fields against each other.

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
