# SPDX-License-Identifier: MIT
"""Types and defaults of the daemon's settings; :mod:`foldloom.settings_file` loads the file.

Keys are a stable interface for operators. Where a key uses an older term than the code (``worker``,
``member``), ``msgspec.field(name=...)`` maps it to the attribute.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Port = Annotated[int, Meta(ge=1, le=65535)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.:-]{1,32}$")]

ENTRY = "entry"
CONTROLLER = "controller"
POLICY_NAMES = ("slot-leases", "power-of-two", "least-local-count", "random")
ROLES = (ENTRY, CONTROLLER)


class HttpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listen address of the HTTP interface, and limits on connections and requests."""

    # IP address to listen on.
    host: str
    # Port to listen on.
    port: Port
    # Certificate chain in PEM; with the key, HTTP is served over TLS.
    tls_certificate_file: str = ""
    # Its private key in PEM.
    tls_key_file: str = ""
    # Bytes of a request's body; larger ones get 413.
    body_max_bytes: PositiveInt = 8 * 1024 * 1024
    # Milliseconds for the first request head of a connection.
    header_timeout_ms: PositiveInt = 10_000
    # Milliseconds for a body; slower ones get 408.
    body_timeout_ms: PositiveInt = 30_000
    # Connections at a time; more are closed at once: below the 4,096 descriptors of the users'
    # boxes.
    connections_max: PositiveInt = 2_000


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One box of the system, which may be this box.

    ``http_url`` is unused and accepted so that older files still load.
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
    """Limits on jobs, queues, retries and memory."""

    # Tasks of a job; more get 413: above the 1,700 of the size to design for.
    tasks_per_job_max: PositiveInt = 2_000
    # Jobs that run on a box at a time.
    jobs_in_flight_max: PositiveInt = 4_000
    # Tasks that wait at one lease manager.
    queued_tasks_max: PositiveInt = 4_000
    # The same of one customer.
    queued_tasks_per_customer_max: PositiveInt = msgspec.field(
        default=4_000, name="queued_tasks_per_member_max"
    )
    # Connections to one endpoint: what the users' endpoints take.
    connections_per_endpoint: PositiveInt = msgspec.field(default=64, name="connections_per_worker")
    # Bytes of a task's answer.
    answer_max_bytes: PositiveInt = 1024 * 1024
    # Answers that are kept for resubmissions.
    retained_jobs_max: PositiveInt = 200_000
    # Bytes of these answers.
    retained_bytes_max: PositiveInt = 256 * 1024 * 1024
    # Claims that a replica holds; at some 280 bytes each (docs/CAPACITY.md).
    claims_max: PositiveInt = 1_000_000
    # Share of recent starts that may be retries, so that a failing zone makes no storm.
    retry_share: Share = 0.1
    # Share of a shard's endpoints that may be left out as sick at a time: one of three.
    ejected_share_max: Share = 0.34
    # Endpoints above which a zone's slots are shared between lease managers.
    lease_shard_endpoints: PositiveInt = msgspec.field(default=64, name="lease_shard_workers")


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and timeouts, in milliseconds."""

    # Between two heartbeats to each box, so that several may be lost before a box counts as silent.
    heartbeat_ms: PositiveInt = 250
    # Silence after which a box counts as gone: four heartbeats.
    peer_silent_ms: PositiveInt = 1_000
    # A job's deadline if it names none.
    deadline_default_ms: PositiveInt = 30_000
    # The longest deadline; longer ones are cut to it.
    deadline_max_ms: PositiveInt = 60_000
    # For how long after its deadline a submission is remembered.
    resubmission_window_ms: PositiveInt = 120_000
    # For all votes of a claim: far above a round trip between zones.
    claim_timeout_ms: PositiveInt = 300
    # Until the third replica is asked as well: above the usual vote, which takes some milliseconds
    # under load.
    claim_hedge_ms: PositiveInt = 15
    # A slot's lease without a renewal.
    lease_ttl_ms: PositiveInt = 2_000
    # Silence of the leader after which a controller stands; drawn up to twice that: far above a
    # sync of the users' disks (9 ms) and a round trip.
    election_timeout_ms: PositiveInt = 600
    # Added to each sync, to stand for a slower disk in benchmarks.
    sync_delay_ms: NonNegativeInt = 0
    # Bound of a planned stop: above the longest deadline.
    stop_timeout_ms: PositiveInt = 70_000
    # Between two polls of the platform's list of boxes.
    platform_poll_ms: PositiveInt = 500
    # For how long a sick endpoint is left out before it is probed.
    ejection_ms: PositiveInt = 2_000
    # Between two joins of each controller (seed discovery).
    join_ms: PositiveInt = 250
    # Between two heartbeats of a zone's owner.
    owner_heartbeat_ms: PositiveInt = msgspec.field(default=100, name="owner_beat_ms")
    # Silence after which an owner is replaced: four of its heartbeats; on loopback a zone was
    # without an owner for 444 to 527 ms.
    owner_silent_ms: PositiveInt = 400
    # For how long an acknowledged heartbeat lets an owner run a box's tasks: as an owner's silence,
    # so that a new owner need not wait for the old one's right.
    session_ms: PositiveInt = 400
    # Lease of what runs on an endpoint, so that two polls (200 ms) may be lost.
    endpoint_lease_ms: PositiveInt = msgspec.field(default=600, name="worker_lease_ms")
    # The longest lease that an endpoint gives, whatever it is asked for: the bound of the users'
    # platform.
    endpoint_lease_max_ms: PositiveInt = 1_000
    # From a planned stop to the end of new connections: above the two seconds after which the
    # users' balancer leaves a box that is not ready.
    drain_ms: PositiveInt = 2_500


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destination, format and level of log lines."""

    # The least level that is written.
    level: str = "INFO"
    # `text` or `json`.
    format: str = "text"
    # A file; standard output if empty.
    file: str = ""


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the statsd server; no metrics are sent while ``host`` is empty."""

    # The statsd server; empty sends nothing.
    host: str = ""
    # Its port.
    port: Port = 8125
    # In front of every name.
    prefix: str = "foldloom"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings file of one box.

    The other boxes are either all listed in ``peers``, or discovered through ``seeds``, the
    addresses (``IP:port``) of some controllers. With seeds, a box's name is its listen address.

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
        """Retention of claims and answers: the longest deadline plus the resubmission window."""
        return self.timings.deadline_max_ms + self.timings.resubmission_window_ms
