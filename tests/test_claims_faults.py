# SPDX-License-Identifier: MIT
"""At-most-once execution, accurate verdicts and complete answers of real processes under faults.

Starts are counted at the endpoints, which also verifies each "not run".
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from cluster import Cluster, HttpAnswer, http, wait_until
from foldloom.static_peers.claims.replicas import claim_replicas
from proxy import FaultProxy

_SHORT = {"timings": {"resubmission_window_ms": 20_000, "deadline_max_ms": 10_000}}


class Rig:
    """Six boxes in three zones behind a fault proxy, with a thread pool of callers."""

    def __init__(self, folder: Path) -> None:
        """Start the processes."""
        self.proxy = FaultProxy()
        self.cluster = Cluster(
            folder, boxes_per_zone=2, overrides=_SHORT, address_of=self.proxy.address_of
        )
        self.pool = ThreadPoolExecutor(16)
        self.cluster.start()

    def close(self) -> None:
        """Stop the processes."""
        self.cluster.end()
        self.proxy.close()
        self.pool.shutdown()

    def send(self, box: str, submission: str, payloads: list[Any]) -> Future[HttpAnswer]:
        """Submit a job in the background."""
        return self.pool.submit(self.cluster.submit, box, submission, payloads)

    def started(self, submission: str) -> list[int]:
        """Return the number of starts of each started task of *submission*."""
        starts = self.cluster.starts()
        return [count for key, count in starts.items() if key.startswith(f"{submission}/")]

    def wait_started(self, submission: str) -> None:
        """Wait until an endpoint has started a task of *submission*."""
        wait_until(lambda: self.started(submission), f"{submission} started")

    def replicas(self, submission: str) -> tuple[str, ...]:
        """Return the claim replicas of *submission*."""
        return claim_replicas(submission, {box: box[0] for box in self.cluster.boxes})

    def submission_with(self, coordinator_is_replica: bool, box: str, prefix: str) -> str:
        """Return an id for which *box* is, or is not, a claim replica."""
        names = (f"{prefix}-{n}" for n in range(1000))
        return next(
            name for name in names if (box in self.replicas(name)) == coordinator_is_replica
        )


@pytest.fixture(scope="class")
def rig(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Rig]:
    """A shared rig for tests that restore its state."""
    started_rig = Rig(tmp_path_factory.mktemp("claims"))
    yield started_rig
    started_rig.close()


@pytest.fixture
def own_rig(tmp_path: Path) -> Iterator[Rig]:
    """A rig for a test that kills boxes."""
    started_rig = Rig(tmp_path)
    yield started_rig
    started_rig.close()


def _assert_consistent(answer: HttpAnswer, started: list[int]) -> None:
    """Assert that a failure is well formed and that a refused job started no task."""
    if answer.status == 200:
        return
    assert answer.fields["verdict"] in ("failed", "refused")
    assert answer.fields["run"] in ("not-run", "may-have-run")
    if answer.fields["verdict"] == "refused":
        assert answer.fields["run"] == "not-run"
        assert not started


class TestSameSubmissionAtOnce:
    """One submission sent to several boxes concurrently."""

    @pytest.mark.parametrize("count", [2, 3, 6])
    def test_runs_once_and_all_get_the_answer(self, rig: Rig, count: int) -> None:
        """Every caller gets the same complete answer and each task starts once."""
        payloads = [{"ms": 30, "n": n} for n in range(4)]
        for round_number in range(10):
            submission = f"at-once-{count}-{round_number}"
            sent = [rig.send(box, submission, payloads) for box in rig.cluster.boxes[:count]]
            answers = [one.result() for one in sent]
            assert [answer.status for answer in answers] == [200] * count
            assert all(
                [one["echo"] for one in answer.fields["answers"]] == payloads for answer in answers
            )
            assert rig.started(submission) == [1] * 4

    def test_resent_mid_run_and_after(self, rig: Rig) -> None:
        """A resubmission to another box, during or after the run, gets the same answer."""
        first = rig.send("a1", "mid-run", [{"ms": 500}])
        rig.wait_started("mid-run")
        second = rig.send("b2", "mid-run", [{"ms": 500}])
        assert first.result().fields == second.result().fields
        assert rig.cluster.submit("c1", "mid-run", [{"ms": 500}]).fields == first.result().fields
        assert rig.started("mid-run") == [1]

    def test_lost_answer(self, rig: Rig) -> None:
        """A job survives its caller's disconnect; a resubmission gets the answer."""
        with pytest.raises(OSError, match="timed out"):
            rig.cluster.submit("a1", "lost", [{"ms": 600}], timeout_s=0.3)
        assert rig.cluster.submit("b1", "lost", [{"ms": 600}]).status == 200
        assert rig.started("lost") == [1]


class TestDelayedAndFrozenBoxes:
    """Delayed messages and frozen boxes."""

    def test_delayed_links(self, rig: Rig) -> None:
        """With 40 ms of delay on every link, concurrent submissions run at most once."""
        rig.proxy.delay(0.04)
        try:
            for number in range(5):
                submission = f"delayed-{number}"
                sent = [rig.send(box, submission, [{"ms": 20}]) for box in ("a1", "b1", "c1")]
                answers = [one.result() for one in sent]
                started = rig.started(submission)
                assert all(count == 1 for count in started)
                for answer in answers:
                    _assert_consistent(answer, started)
        finally:
            rig.proxy.delay(0.0)

    @pytest.mark.parametrize("count", [2, 3, 6])
    @pytest.mark.parametrize("delay_s", [0.005, 0.01, 0.04])
    def test_all_get_the_answer_over_slow_links(self, rig: Rig, delay_s: float, count: int) -> None:
        """Regression: coordinators that split the votes again and again answered 503."""
        rig.proxy.delay(delay_s)
        try:
            for number in range(5):
                submission = f"slow-links-{delay_s}-{count}-{number}"
                sent = [
                    rig.send(box, submission, [{"ms": 20}]) for box in rig.cluster.boxes[:count]
                ]
                assert [one.result().status for one in sent] == [200] * count
                assert rig.started(submission) == [1]
        finally:
            rig.proxy.delay(0.0)

    def test_frozen_coordinator(self, rig: Rig) -> None:
        """A frozen coordinator's job is not started elsewhere, nor twice after it resumes."""
        submission = rig.submission_with(False, "a2", "frozen")
        first = rig.send("a2", submission, [{"ms": 300}] * 12)
        rig.wait_started(submission)
        rig.cluster.signal("a2", signal.SIGSTOP)
        try:
            answer = rig.cluster.submit("b1", submission, [{"ms": 300}] * 12)
            assert answer.status == 503
            assert answer.fields["run"] == "may-have-run"
            assert answer.fields["retry_after_ms"] > 0
        finally:
            rig.cluster.signal("a2", signal.SIGCONT)
        _assert_consistent(first.result(), rig.started(submission))
        assert max(rig.started(submission)) == 1
        wait_until(lambda: rig.cluster.status("b1")["boxes"]["a2"]["is_live"], "a2 is live again")
        again = rig.cluster.submit("b1", submission, [{"ms": 300}] * 12)
        assert again.status in (200, first.result().status)
        assert max(rig.started(submission)) == 1


class TestPartitions:
    """Network partitions between zones."""

    @pytest.mark.parametrize("zone", ["a", "b", "c"])
    def test_each_zone_in_turn(self, rig: Rig, zone: str) -> None:
        """With a zone partitioned, the majority serves plain ids and the zone its tagged ids."""
        others = [other for other in rig.cluster.zones if other != zone]
        rig.proxy.cut_zone(zone)
        try:
            wait_until(lambda: _sees_partition(rig, zone), "the partition is detected")
            majority = rig.cluster.submit(f"{others[0]}1", f"plain-{zone}", [{"ms": 10}])
            assert majority.status == 200
            tagged = rig.cluster.submit(f"{zone}1", f"{zone}~cut-{zone}", [{"ms": 10}])
            assert tagged.status == 200
            plain = rig.cluster.submit(f"{zone}1", f"plain-{zone}", [{"ms": 10}])
            assert plain.status == 503
            assert plain.fields["run"] == "may-have-run"
            assert f"{zone}~" in plain.fields["detail"]
        finally:
            rig.proxy.heal()
            wait_until(lambda: _sees_no_partition(rig, zone), "the partition is healed")
        assert rig.cluster.submit(f"{zone}1", f"plain-{zone}", [{"ms": 10}]).status == 200
        assert rig.started(f"plain-{zone}") == [1]
        assert rig.started(f"{zone}~cut-{zone}") == [1]

    def test_share_served(self, rig: Rig) -> None:
        """With all zones partitioned only tagged ids are served; plain ids report may-have-run."""
        for zone in rig.cluster.zones:
            rig.proxy.cut_zone(zone)
        try:
            wait_until(
                lambda: all(_sees_partition(rig, zone) for zone in "abc"),
                "the partitions are detected",
            )
            for zone in rig.cluster.zones:
                plain = rig.cluster.submit(f"{zone}1", "apart", [{"ms": 10}])
                assert (plain.status, plain.fields["run"]) == (503, "may-have-run")
                tagged = rig.cluster.submit(f"{zone}2", f"{zone}~apart", [{"ms": 10}])
                assert tagged.status == 200
        finally:
            rig.proxy.heal()
            wait_until(
                lambda: all(_sees_no_partition(rig, zone) for zone in "abc"),
                "the partitions are healed",
            )
        assert rig.started("apart") == []
        wait_until(
            lambda: rig.cluster.submit("a1", "apart", [{"ms": 10}]).status == 200, "served again"
        )


def _live_pairs(rig: Rig, zone: str) -> set[bool]:
    """Return whether boxes inside and outside *zone* see each other as live."""
    seen = {box: rig.cluster.status(box)["boxes"] for box in rig.cluster.boxes}
    inside = [box for box in seen if box[0] == zone]
    outside = [box for box in seen if box[0] != zone]
    return {
        live
        for one in inside
        for other in outside
        for live in (seen[one][other]["is_live"], seen[other][one]["is_live"])
    }


def _sees_partition(rig: Rig, zone: str) -> bool:
    """Return whether all boxes of *zone* and all others see each other as not live."""
    return _live_pairs(rig, zone) == {False}


def _sees_no_partition(rig: Rig, zone: str) -> bool:
    """Return whether all boxes of *zone* and all others see each other as live."""
    return _live_pairs(rig, zone) == {True}


class TestKilledBoxes:
    """Boxes killed with SIGKILL, which lose their in-memory claims."""

    def test_killed_coordinator(self, own_rig: Rig) -> None:
        """A killed coordinator's job fails permanently once it is back and starts nowhere else."""
        rig = own_rig
        submission = rig.submission_with(True, "a1", "killed")
        first = rig.send("a1", submission, [{"ms": 300}] * 12)
        rig.wait_started(submission)
        rig.cluster.kill("a1")
        assert isinstance(first.exception(), OSError)
        silent = rig.cluster.submit("b1", submission, [{"ms": 300}] * 12)
        assert (silent.status, silent.fields["run"]) == (503, "may-have-run")
        rig.cluster.start_box("a1")
        wait_until(lambda: rig.cluster.status("b1")["boxes"]["a1"]["is_live"], "a1 is back")
        for box in ("a1", "b1", "c2"):
            answer = rig.cluster.submit(box, submission, [{"ms": 300}] * 12)
            assert (answer.fields["verdict"], answer.fields["run"]) == ("failed", "may-have-run")
        assert max(rig.started(submission)) == 1

    def test_second_loss_before_recovery(self, own_rig: Rig) -> None:
        """Two claim replicas lost before either has recovered: the submission is not restarted."""
        rig = own_rig
        submission = rig.submission_with(False, "a1", "two-lost")
        lost = [box for box in rig.replicas(submission) if box != "a2"]
        assert rig.cluster.submit("a1", submission, [{"ms": 10}]).status == 200
        rig.cluster.kill("a1")
        # Both are down at the same time, so neither can copy from the other.
        for box in lost:
            rig.cluster.kill(box)
        for box in lost:
            rig.cluster.start_box(box)
        wait_until(lambda: http("GET", f"{rig.cluster.url(lost[0])}/readyz").status == 200, "up")
        alive = next(box for box in rig.cluster.boxes if box not in (*lost, "a1"))
        answer = rig.cluster.submit(alive, submission, [{"ms": 10}])
        assert (answer.status, answer.fields["run"]) == (503, "may-have-run")
        assert rig.started(submission) == [1]

    def test_restarted_replica_votes_after_copy(self, own_rig: Rig) -> None:
        """A restarted claim replica copies its claims, then votes again."""
        rig = own_rig
        submission = rig.submission_with(False, "a1", "copied")
        replica = rig.replicas(submission)[1]
        first = rig.cluster.submit("a1", submission, [{"ms": 10}])
        rig.cluster.kill(replica)
        rig.cluster.start_box(replica)
        rig.cluster.wait_ready([replica])
        assert (
            "First incarnation" not in rig.cluster.log(replica).split(" started, incarnation ")[-1]
        )
        again = rig.cluster.submit(replica, submission, [{"ms": 10}])
        assert again.fields == first.fields
        assert rig.started(submission) == [1]

    def test_planned_stop_hands_answers_over(self, own_rig: Rig) -> None:
        """After a planned stop another box serves the answer, also after the restart."""
        rig = own_rig
        first = rig.cluster.submit("a1", "handed", [{"ms": 10}])
        assert rig.cluster.stop("a1") == 0
        assert rig.cluster.submit("b1", "handed", [{"ms": 10}]).fields == first.fields
        rig.cluster.start_box("a1")
        rig.cluster.wait_ready(["a1"])
        assert rig.cluster.submit("a1", "handed", [{"ms": 10}]).fields == first.fields
        assert rig.started("handed") == [1]


class TestEndpointFaults:
    """Endpoints with invalid answers or crashes."""

    @pytest.mark.parametrize("fault", ["cut-short", "crossed", "oversized", "error"])
    def test_bad_answer_is_never_passed_on(self, rig: Rig, fault: str) -> None:
        """An invalid answer fails the whole job at once; the task is not retried."""
        began = time.monotonic()
        payloads = [{"ms": 10}, {"ms": 10, "fault": fault}, {"ms": 4_000}]
        answer = rig.cluster.submit("a1", f"bad-{fault}", payloads)
        assert (answer.fields["verdict"], answer.fields["run"]) == ("failed", "may-have-run")
        assert "answers" not in answer.fields
        assert max(rig.started(f"bad-{fault}")) == 1
        assert time.monotonic() - began < 4.0

    def test_late_answer(self, rig: Rig) -> None:
        """An answer after the deadline is discarded, and the task is not retried."""
        late = rig.cluster.submit("a1", "late", [{"ms": 1_500}], deadline_ms=500)
        assert (late.status, late.fields["run"]) == (504, "may-have-run")
        time.sleep(1.5)
        again = rig.cluster.submit("b1", "late", [{"ms": 1_500}])
        assert again.fields == late.fields
        assert rig.started("late") == [1]

    def test_refused_everywhere_is_not_run(self, rig: Rig) -> None:
        """A task refused by every endpoint makes the job refused and not run."""
        answer = rig.cluster.submit("a1", "none-takes", [{"fault": "refuse"}], deadline_ms=3_000)
        assert (answer.fields["verdict"], answer.fields["run"]) == ("refused", "not-run")
        assert rig.started("none-takes") == []

    def test_endpoint_killed_mid_task(self, own_rig: Rig) -> None:
        """A task is restarted after a crash only if its service permits it and it is repeatable."""
        rig = own_rig
        restart = "after-worker-death"
        services = [
            {"kind": "service", "name": "once", "workers": ["aw*"]},
            {"kind": "service", "name": "pinned", "workers": ["aw*"], "restart": restart},
            {"kind": "service", "name": "again", "workers": ["aw*", "bw*"], "restart": restart},
        ]
        rig.cluster.wait_version(rig.cluster.confirm(services))
        cases = {"once": (2, True), "pinned": (2, False), "again": (12, True)}
        sent = {}
        for service, (tasks, repeatable) in cases.items():
            fields = {"service": service, "repeatable": repeatable}
            payloads = [{"ms": 2_000}] * tasks
            sent[service] = rig.pool.submit(
                rig.cluster.submit, "a1", f"job-{service}", payloads, **fields
            )
            wait_until(lambda s=service, n=tasks: len(rig.started(f"job-{s}")) == n, "started")
        rig.cluster.kill("workers-a")
        answers = {service: one.result() for service, one in sent.items()}
        assert answers["again"].status == 200
        assert len(answers["again"].fields["answers"]) == 12
        for service in ("once", "pinned"):
            assert answers[service].fields["verdict"] == "failed"
            assert answers[service].fields["run"] == "may-have-run"
        rig.cluster.endpoints = [spec for spec in rig.cluster.endpoints if spec.zone != "a"]
        assert rig.started("job-once") == rig.started("job-pinned") == []
        assert max(rig.started("job-again")) == 1
