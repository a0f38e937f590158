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
    # Private key of the certificate, in PEM.
    tls_key_file: str = ""
    # Maximum size of a request body, in bytes; larger ones get 413.
    body_max_bytes: PositiveInt = 8 * 1024 * 1024
    # Timeout for the first request head of a connection, in milliseconds.
    header_timeout_ms: PositiveInt = 10_000
    # Timeout for a request body, in milliseconds; slower ones get 408.
    body_timeout_ms: PositiveInt = 30_000
    # Maximum number of open connections; further ones are closed at once.
    connections_max: PositiveInt = 2_000


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One box of the system, which may be this box.

    ``http_url`` is unused and accepted so that older files still load.
    """

    # Name of the box.
    box: Name
    # Its availability zone.
    zone: Name
    # `entry`, `controller` or both.
    roles: list[str]
    # `IP:port` of its peer socket, as seen from this box.
    address: str
    # Deprecated and ignored.
    http_url: str = ""
    # Its public CURVE key, in Z85; required off loopback.
    public_key: str = ""


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on jobs, queues, retries and memory."""

    # Maximum number of tasks per job; larger jobs get 413.
    tasks_per_job_max: PositiveInt = 2_000
    # Maximum number of jobs in flight on a box.
    jobs_in_flight_max: PositiveInt = 4_000
    # Maximum number of tasks queued at one lease manager.
    queued_tasks_max: PositiveInt = 4_000
    # The same for each customer.
    queued_tasks_per_customer_max: PositiveInt = msgspec.field(
        default=4_000, name="queued_tasks_per_member_max"
    )
    # Maximum number of connections to one endpoint.
    connections_per_endpoint: PositiveInt = msgspec.field(default=64, name="connections_per_worker")
    # Maximum size of an endpoint's response body, in bytes.
    answer_max_bytes: PositiveInt = 1024 * 1024
    # Maximum number of jobs whose answers are retained for resubmissions.
    retained_jobs_max: PositiveInt = 200_000
    # Maximum total size of retained answers, in bytes.
    retained_bytes_max: PositiveInt = 256 * 1024 * 1024
    # Maximum number of claims on a replica; about 280 bytes each (docs/CAPACITY.md).
    claims_max: PositiveInt = 1_000_000
    # Maximum share of retries among recent starts; prevents retry storms.
    retry_share: Share = 0.1
    # Maximum share of a shard's endpoints that may be ejected at a time.
    ejected_share_max: Share = 0.34
    # Number of endpoints above which a zone is sharded between lease managers.
    lease_shard_endpoints: PositiveInt = msgspec.field(default=64, name="lease_shard_workers")


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and timeouts, in milliseconds."""

    # Heartbeat interval between boxes.
    heartbeat_ms: PositiveInt = 250
    # Silence after which a box counts as unreachable.
    peer_silent_ms: PositiveInt = 1_000
    # Default deadline of a job.
    deadline_default_ms: PositiveInt = 30_000
    # Maximum deadline of a job; longer ones are reduced to it.
    deadline_max_ms: PositiveInt = 60_000
    # Retention of a submission after its deadline, for resubmissions.
    resubmission_window_ms: PositiveInt = 120_000
    # Timeout for the votes on a claim.
    claim_timeout_ms: PositiveInt = 300
    # Delay before the claim request is also sent to the third replica.
    claim_hedge_ms: PositiveInt = 15
    # Time-to-live of a slot lease without renewal.
    lease_ttl_ms: PositiveInt = 2_000
    # Minimum election timeout of controllers; randomized up to twice this value.
    election_timeout_ms: PositiveInt = 600
    # Delay added to each disk sync, to simulate slower disks in benchmarks.
    sync_delay_ms: NonNegativeInt = 0
    # Timeout of a planned stop; should exceed the maximum deadline.
    stop_timeout_ms: PositiveInt = 70_000
    # Interval between polls of the platform's list of boxes.
    platform_poll_ms: PositiveInt = 500
    # Duration of an ejection before the endpoint is probed.
    ejection_ms: PositiveInt = 2_000
    # Interval between joins of each controller (seed discovery).
    join_ms: PositiveInt = 250
    # Heartbeat interval of a zone's owner.
    owner_heartbeat_ms: PositiveInt = msgspec.field(default=100, name="owner_beat_ms")
    # Silence after which an owner is replaced.
    owner_silent_ms: PositiveInt = 400
    # Duration of an owner's session with a box after an acknowledged heartbeat; at most
    # owner_silent_ms, so that a new owner need not wait for the previous session to expire.
    session_ms: PositiveInt = 400
    # Lease of a run on an endpoint; tolerates the loss of two polls.
    endpoint_lease_ms: PositiveInt = msgspec.field(default=600, name="worker_lease_ms")
    # Maximum lease granted by an endpoint, whatever is requested.
    endpoint_lease_max_ms: PositiveInt = 1_000
    # Drain time of a planned stop, during which new connections are still accepted; must exceed the
    # time in which the load balancer removes a box that is not ready.
    drain_ms: PositiveInt = 2_500


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destination, format and level of log lines."""

    # Minimum level of log lines.
    level: str = "INFO"
    # `text` or `json`.
    format: str = "text"
    # Log file; standard output if empty.
    file: str = ""


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the statsd server; no metrics are sent while ``host`` is empty."""

    # Host of the statsd server; no metrics are sent if empty.
    host: str = ""
    # Port of the statsd server.
    port: Port = 8125
    # Prefix of every metric name.
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
    # HTTP interface for callers and operators.
    http: HttpSettings
    # `IP:port` of the peer socket.
    listen: str
    # All boxes, including this one; empty with seeds.
    peers: list[PeerSettings] = []
    # `IP:port` of some controllers, for seed discovery.
    seeds: list[str] = []
    # Must be true to use seeds, which do not support CURVE keys, off the loopback address.
    plaintext_peers: bool = False
    # Data folder of a controller; on other boxes, cache of the configuration.
    data_folder: str = ""
    # Secret CURVE key of this box; required off loopback with peers.
    secret_key_file: str = ""
    # Bearer tokens of operators, one per line; if empty, operator requests are rejected.
    operator_tokens_file: str = ""
    # CA certificates for verifying endpoints over HTTPS.
    endpoint_ca_file: str = msgspec.field(default="", name="worker_ca_file")
    # URL of the platform's list of leaving boxes; empty if there is none.
    platform_url: str = ""
    # `IP:port` for metrics in the Prometheus text format; empty disables it.
    metrics_address: str = ""
    # Placement policy; all but `slot-leases` are baselines for benchmarks.
    policy: str = "slot-leases"
    # Limits on jobs, queues, retries and memory.
    limits: LimitSettings = LimitSettings()
    # Intervals and timeouts.
    timings: TimingSettings = TimingSettings()
    # Log output.
    logs: LogSettings = LogSettings()
    # Metrics over statsd.
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
