# SPDX-License-Identifier: MIT
"""Measure the slopes of docs/CAPACITY.md and write its tables.

Run: ``.venv/bin/python benchmarks/capacity.py``; with ``--tables`` it only writes the tables, from
the committed figures. Writes the raw figures to ``benchmarks/capacity.json``.
"""

from __future__ import annotations

import argparse
import itertools
import json
import time
import tracemalloc
from pathlib import Path
from typing import Any

from capacity_tables import write_tables
from rig import Cluster, cpu_seconds, resident_bytes, running_cluster, start_load

from foldloom.controllers.commands import ConfirmCommand, encode_command
from foldloom.controllers.config import (
    ACTIVE,
    Config,
    Customer,
    Endpoint,
    Service,
    empty_config,
    encode_config,
)
from foldloom.controllers.intents import parse_intents
from foldloom.controllers.plans import make_plan
from foldloom.controllers.state import ReplicatedState
from foldloom.settings_file import settings_from
from foldloom.static_peers.claims.messages import Claim
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.static_peers.placement.messages import SlotOutcome, SlotRequest, SlotReturn
from foldloom.static_peers.placement.policies import SlotLeases
from foldloom.static_peers.placement.shard import Shard

FIGURES = Path(__file__).parent / "capacity.json"
_SECONDS = 4.0
_DECISIONS = 3_000


def _settings() -> Any:
    return settings_from(
        {
            "box": "a1",
            "zone": "a",
            "roles": ["entry"],
            "listen": "127.0.0.1:7001",
            "http": {"host": "127.0.0.1", "port": 8101},
            "timings": {"lease_ttl_ms": 10**9},
            "peers": [{"box": "a1", "zone": "a", "roles": ["entry"], "address": "127.0.0.1:7001"}],
        }
    )


def make_config(endpoints: int, customers: int) -> Config:
    """Return a configuration with the given numbers of endpoints and customers."""
    config = empty_config({"a1": "a"}, {"a1": "?"})
    return config._replace(
        services={"sleep": Service(workers=["*"], concurrency_max=0, restart="never")},
        endpoints={
            f"worker-{n:04d}": Endpoint(
                endpoint=f"http://10.0.{n // 250}.{n % 250}:9000", zone="a", slots=8, state=ACTIVE
            )
            for n in range(endpoints)
        },
        customers={
            f"team-{n:03d}": Customer(quota=1 + n % 5, concurrency_max=0) for n in range(customers)
        },
    )


def claim_memory() -> list[list[float]]:
    """Return (claims held, bytes) pairs."""
    rows = []
    for count in (10_000, 20_000, 40_000, 80_000):
        tracemalloc.start()
        table = ClaimTable(10**9, 10**7)
        for number in range(count):
            claim = Claim("ab" * 16, f"box{number % 9}", 1_790_000_000_000 + number % 9, 1)
            table.decide_vote(f"0f8fad5b-d9cb-469f-a165-{number:012d}", claim, number)
        rows.append([count, tracemalloc.get_traced_memory()[0]])
        tracemalloc.stop()
    return rows


def claim_votes() -> list[list[float]]:
    """Return (votes, CPU seconds) pairs."""
    rows = []
    for count in (10_000, 20_000, 40_000, 80_000):
        table = ClaimTable(10**9, 10**7)
        start_s = time.process_time()
        for number in range(count):
            table.decide_vote(f"s-{number}", Claim("ab" * 16, "box1", 1, 1), number)
        rows.append([count, time.process_time() - start_s])
    return rows


def placement_decisions() -> list[list[float]]:
    """Return (endpoints of a shard, CPU microseconds of request, grant and return) pairs."""
    rows = []
    for endpoints in (16, 32, 64, 128, 256):
        config = make_config(endpoints, 1)
        shard = Shard(_settings(), SlotLeases(), itertools.count(1))
        shard.set_endpoints(config, list(config.endpoints), set(config.endpoints))
        shard.tick(0)
        start_s = time.process_time()
        for number in range(_DECISIONS):
            request = SlotRequest(number, "fleet", "sleep", "team-000", 1, 10**6, 1)
            shard.add("a1", request)
            for grant in shard.match(number):
                message = grant.message
                slot_return = SlotReturn(
                    message.lease_id, message.endpoint, "sleep", 100.0, SlotOutcome.DONE
                )
                shard.release(slot_return, number)
        rows.append([endpoints, (time.process_time() - start_s) / _DECISIONS * 1e6])
    return rows


def customer_decisions() -> list[list[float]]:
    """Return (customers, CPU microseconds per task) pairs; every customer has tasks queued."""
    rows = []
    for customers in (60, 120, 240, 480):
        config = make_config(64, customers)
        shard = Shard(_settings(), SlotLeases(), itertools.count(1))
        shard.set_endpoints(config, list(config.endpoints), set(config.endpoints))
        shard.tick(0)
        numbers = itertools.count(1)
        for name in config.customers:
            shard.add("a1", SlotRequest(next(numbers), "fleet", "sleep", name, 2, 10**7, 2))
        grants = [grant.message for grant in shard.match(0)]
        start_s = time.process_time()
        for number in range(_DECISIONS):
            message = grants.pop(0)
            shard.release(
                SlotReturn(message.lease_id, message.endpoint, "sleep", 100.0, SlotOutcome.DONE), 0
            )
            name = f"team-{number % customers:03d}"
            shard.add("a1", SlotRequest(next(numbers), "fleet", "sleep", name, 1, 10**7, 1))
            grants += [grant.message for grant in shard.match(0)]
        rows.append([customers, (time.process_time() - start_s) / _DECISIONS * 1e6])
    return rows


def config_bytes() -> dict[str, list[list[float]]]:
    """Return the encoded size of a configuration by endpoints and by customers."""
    sizes = (200, 400, 800, 1_600)
    return {
        "config_bytes_by_workers": [[n, len(encode_config(make_config(n, 0)))] for n in sizes],
        "config_bytes_by_members": [[n, len(encode_config(make_config(0, n)))] for n in sizes],
    }


def change_costs() -> dict[str, list[list[float]]]:
    """Return log size, snapshot size and CPU seconds by number of configuration changes."""
    log_bytes, snapshot_bytes, seconds = [], [], []
    for count in (100, 200, 400, 800):
        state = ReplicatedState(make_config(1_700, 480))
        log_size = 0
        start_s = time.process_time()
        for number in range(count):
            intents = [{"kind": "member", "name": "team-001", "quota": 1000 + number}]
            plan = make_plan(state.config, parse_intents(intents).ok).ok
            command = encode_command(ConfirmCommand(f"command-{number:032d}", plan.digest, intents))
            log_size += len(command)
            assert state.apply(command).status == 200
        seconds.append([count, time.process_time() - start_s])
        log_bytes.append([count, log_size])
        snapshot_bytes.append([count, len(state.dump())])
    return {
        "change_log_bytes": log_bytes,
        "change_snapshot_bytes": snapshot_bytes,
        "change_cpu_s": seconds,
    }


def idle_costs() -> dict[str, list[list[float]]]:
    """Return CPU share, traffic and memory of an idle box by number of boxes."""
    rows: dict[str, list[list[float]]] = {
        "idle_cpu_share_by_boxes": [],
        "idle_bytes_per_s_by_boxes": [],
        "idle_rss_mb_by_boxes": [],
    }
    for per_zone in (1, 2, 4, 6):
        with running_cluster(boxes_per_zone=per_zone) as cluster:
            time.sleep(1.5)
            box = cluster.boxes[-1]
            pid = cluster.processes[box].pid
            cpu, traffic_before = cpu_seconds(pid), _traffic_bytes(cluster, box)
            time.sleep(_SECONDS)
            count = 3 * per_zone
            share = (cpu_seconds(pid) - cpu) / _SECONDS
            rows["idle_cpu_share_by_boxes"].append([count, share])
            traffic = (_traffic_bytes(cluster, box) - traffic_before) / _SECONDS
            rows["idle_bytes_per_s_by_boxes"].append([count, traffic])
            rows["idle_rss_mb_by_boxes"].append([count, resident_bytes(pid) / 1e6])
    return rows


def _traffic_bytes(cluster: Cluster, box: str) -> int:
    metrics = cluster.status(box)["metrics"]
    return int(metrics["bytes.sent"] + metrics["bytes.received"])


def task_costs() -> dict[str, list[list[float]]]:
    """Return the CPU share of all boxes by task rate, for single-task jobs and jobs of 64."""
    rows: dict[str, list[list[float]]] = {"cpu_by_single_task_jobs": [], "cpu_by_batched_tasks": []}
    for key, tasks in (("cpu_by_single_task_jobs", 1), ("cpu_by_batched_tasks", 64)):
        with running_cluster(boxes_per_zone=1, endpoints_per_zone=8) as cluster:
            for rate in (100, 200, 300, 400):
                rows[key].append([rate, _cpu_at(cluster, rate, tasks)])
    return rows


def _cpu_at(cluster: Cluster, rate: int, tasks: int) -> float:
    seconds = _SECONDS + 1
    load = start_load(
        cluster, jobs_per_second=rate / tasks, tasks=tasks, seconds=seconds + 1, task_ms_max=150
    )
    time.sleep(1.5)
    before = sum(cpu_seconds(cluster.processes[box].pid) for box in cluster.boxes)
    time.sleep(_SECONDS)
    after = sum(cpu_seconds(cluster.processes[box].pid) for box in cluster.boxes)
    load.communicate(timeout=60)
    return (after - before) / _SECONDS


def job_costs() -> dict[str, list[list[float]]]:
    """Return a coordinator's memory by retained jobs, and its CPU seconds by size of one job."""
    memory, job_cpu = [], []
    with running_cluster(zones="a", controllers=1, endpoints_per_zone=8) as cluster:
        pid = cluster.processes["a1"].pid
        for tasks in (64, 256, 1_024, 1_700):
            cpu = cpu_seconds(pid)
            payloads = [{"ms": 20, "pad": "x" * 100}] * tasks
            answer = cluster.submit("a1", f"large-{tasks}", payloads)
            assert answer.status == 200, answer
            job_cpu.append([tasks, cpu_seconds(pid) - cpu])
        total_jobs = 0
        for jobs in (500, 1_000, 2_000, 4_000):
            load = start_load(
                cluster,
                jobs_per_second=300,
                seconds=(jobs - total_jobs) / 300,
                task_ms_min=1,
                task_ms_max=20,
                prefix=f"kept{jobs}",
            )
            load.communicate(timeout=120)
            total_jobs = jobs
            memory.append([jobs, resident_bytes(pid) / 1e6])
    return {"rss_mb_by_kept_jobs": memory, "cpu_s_by_tasks_of_one_job": job_cpu}


def measure() -> dict[str, Any]:
    """Run every measurement."""
    figures: dict[str, Any] = {
        "claim_bytes": claim_memory(),
        "claim_vote_cpu_s": claim_votes(),
        "decision_us_by_workers": placement_decisions(),
        "decision_us_by_members": customer_decisions(),
    }
    for measurement in (config_bytes, change_costs, idle_costs, task_costs, job_costs):
        figures.update(measurement())
        print(measurement.__name__, "done", flush=True)
    return figures


def main() -> None:
    """Measure unless ``--tables`` is given, then write the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--tables", action="store_true")
    options = parser.parse_args()
    if not options.tables:
        FIGURES.write_text(json.dumps(measure(), indent=1) + "\n", encoding="utf-8")
    write_tables(json.loads(FIGURES.read_text(encoding="utf-8")))


if __name__ == "__main__":
    main()
