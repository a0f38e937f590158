# SPDX-License-Identifier: MIT
"""A confirmed configuration reaches every box and is never reverted; uses real processes."""

from __future__ import annotations

import json
import random
import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from cluster import Cluster, HttpAnswer, wait_until
from proxy import FaultProxy


class Rig:
    """A cluster behind a fault proxy."""

    def __init__(self, folder: Path, **options: Any) -> None:
        """Start the proxy and the cluster."""
        self.proxy = FaultProxy()
        self.cluster = Cluster(folder, address_of=self.proxy.address_of, **options)
        self.cluster.start()

    def close(self) -> None:
        """Stop the cluster and the proxy."""
        self.cluster.end()
        self.proxy.close()

    def leader(self, boxes: list[str] | None = None) -> str:
        """Return the box that reports itself as leader in the newest term."""
        queried = boxes or self.cluster.controllers

        def find_leader() -> str | None:
            leaders = []
            for box in queried:
                try:
                    one = self.cluster.status(box)["controller"]
                except OSError:
                    continue
                if one["leader"] == box:
                    leaders.append((one["term"], box))
            return max(leaders)[1] if leaders else None

        return str(wait_until(find_leader, "a leader"))

    def set_quota(self, quota: int, boxes: list[str] | None = None) -> int:
        """Confirm a customer's quota; return the version."""
        intents = [{"kind": "member", "name": "m1", "quota": quota}]
        return self.cluster.confirm(intents, boxes)

    def quota(self, box: str) -> int:
        """Return the customer's quota in effect on *box*."""
        answer = self.cluster.cli("config", "--url", self.cluster.url(box))
        return int(json.loads(answer.stdout)["members"]["m1"]["quota"])

    def confirm_at(self, box: str, command: str, intents: list[dict[str, Any]]) -> HttpAnswer:
        """Plan and confirm at one box, without a retry."""
        plan = self.cluster.plan(box, intents)
        return self.cluster.confirm_plan(box, plan.fields["digest"], command, intents)


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    """Three boxes, all of them controllers."""
    made = Rig(tmp_path)
    yield made
    made.close()


def _quota(value: int) -> list[dict[str, Any]]:
    return [{"kind": "member", "name": "m1", "quota": value}]


class TestLeaderLost:
    """The leader is killed, paused or partitioned."""

    def test_killed(self, rig: Rig) -> None:
        """Confirmed changes survive the leader's death, and later changes are confirmed."""
        version = rig.set_quota(5)
        leader = rig.leader()
        rig.cluster.kill(leader)
        others = [box for box in rig.cluster.boxes if box != leader]
        rig.cluster.wait_version(version, others)
        assert {rig.quota(box) for box in others} == {5}
        later = rig.set_quota(6, others)
        assert later > version
        rig.cluster.start_box(leader)
        rig.cluster.wait_version(later)
        assert rig.quota(leader) == 6

    def test_paused_and_resumed(self, rig: Rig) -> None:
        """A paused leader that resumes confirms nothing on outdated state."""
        leader = rig.leader()
        others = [box for box in rig.cluster.boxes if box != leader]
        rig.cluster.signal(leader, signal.SIGSTOP)
        version = rig.set_quota(7, others)
        rig.cluster.signal(leader, signal.SIGCONT)
        # Immediately, while it may still consider itself the leader.
        late = rig.cluster.plan(leader, _quota(9))
        rig.cluster.wait_version(version)
        assert rig.quota(leader) == 7
        assert late.status == 200
        assert all(rig.quota(box) == 7 for box in rig.cluster.boxes)

    def test_partitioned(self, rig: Rig) -> None:
        """A partitioned leader confirms nothing and reports whether it may have taken effect."""
        leader = rig.leader()
        others = [box for box in rig.cluster.boxes if box != leader]
        rig.proxy.cut_zone(leader[0])
        intents = _quota(8)
        digest = rig.cluster.plan(leader, intents).fields["digest"]
        lost = rig.cluster.confirm_plan(leader, digest, "cut-off", intents)
        assert lost.status == 503
        assert lost.fields["run"] in ("may-have-run", "not-run")
        version = rig.set_quota(9, others)
        assert rig.quota(leader) == 1
        rig.proxy.heal()
        started_s = time.monotonic()
        rig.cluster.wait_version(version)
        assert time.monotonic() - started_s < 10
        assert {rig.quota(box) for box in rig.cluster.boxes} == {9}


class TestOperators:
    """Operators that race and retry."""

    def test_race(self, rig: Rig) -> None:
        """Of two conflicting confirms on one base exactly one wins; the other gets a new plan."""
        for round_number in range(5):
            values = (10 + 2 * round_number, 11 + 2 * round_number)
            digests = [rig.cluster.plan("a1", _quota(value)).fields["digest"] for value in values]
            with ThreadPoolExecutor(2) as pool:
                sent = [
                    pool.submit(
                        rig.cluster.confirm_plan, box, digest, f"{box}-{value}", _quota(value)
                    )
                    for box, digest, value in zip(("b1", "c1"), digests, values, strict=True)
                ]
                answers = [one.result() for one in sent]
            assert sorted(answer.status for answer in answers) == [200, 409]
            loser = next(answer for answer in answers if answer.status == 409)
            assert loser.fields["run"] == "not-run"
            assert loser.fields["fresh_plan"]["changes"]
            winner = values[[answer.status for answer in answers].index(200)]
            rig.cluster.wait_version(max(a.fields.get("version", 0) for a in answers))
            assert {rig.quota(box) for box in rig.cluster.boxes} == {winner}

    def test_resent_through_another_box(self, rig: Rig) -> None:
        """The same command id gets the same answer, before and after a leader change."""
        first = rig.confirm_at("a1", "once", _quota(20))
        digest = rig.cluster.plan("a1", _quota(20)).fields["digest"]
        assert digest != ""
        confirmed_version = first.fields["version"]
        original = _digest_of(rig, 20, before=1)
        again = rig.cluster.confirm_plan("b1", original, "once", _quota(20))
        assert again.fields == {"version": confirmed_version}
        leader = rig.leader()
        rig.cluster.kill(leader)
        other = next(box for box in rig.cluster.boxes if box != leader)
        wait_until(
            lambda: (
                rig.cluster.confirm_plan(other, original, "once", _quota(20)).fields
                == {"version": confirmed_version}
            ),
            "the same answer after a leader change",
        )
        assert rig.cluster.status(other)["version"] == confirmed_version

    def test_unrelated_change_rebases(self, rig: Rig) -> None:
        """A plan with an outdated base is confirmed if its changes are still the same."""
        plan = rig.cluster.plan("a1", _quota(30)).fields
        rig.cluster.confirm([{"kind": "member", "name": "m2", "quota": 2}])
        answer = rig.cluster.confirm_plan("a1", plan["digest"], "rebased", _quota(30))
        assert answer.status == 200

    def test_nothing_before_confirm(self, rig: Rig) -> None:
        """A plan without a confirm changes nothing."""
        before = rig.cluster.status("a1")["version"]
        assert rig.cluster.plan("a1", _quota(40)).fields["plan"]
        assert rig.cluster.status("a1")["version"] == before
        assert rig.quota("a1") == 1


def _digest_of(rig: Rig, value: int, before: int) -> str:
    """Return the digest of the plan that changed the quota from *before* to *value*."""
    from foldloom.controllers.config import CUSTOMERS, Change
    from foldloom.ids import content_digest

    def member(quota: int) -> dict[str, int]:
        return {"quota": quota, "concurrency_max": 0}

    change = Change(section=CUSTOMERS, name="m1", before=member(before), after=member(value))
    return content_digest([change])


class TestLostDisks:
    """Emptied or damaged data folders."""

    def test_wiped_controller_is_readmitted(self, rig: Rig) -> None:
        """A wiped controller does not vote until the others have readmitted it."""
        version = rig.set_quota(50)
        wiped = next(box for box in rig.cluster.boxes if box != rig.leader())
        rig.cluster.kill(wiped)
        rig.cluster.wipe_data(wiped)
        rig.cluster.start_box(wiped)
        wait_until(lambda: rig.cluster.status(wiped)["controller"]["may_vote"], "taken in")
        assert "Data folder lost or damaged" in rig.cluster.log(wiped)
        assert rig.quota(wiped) == 50
        # It is a voter again: with another controller down, the remaining two confirm.
        rig.cluster.wait_version(version)
        gone = next(box for box in rig.cluster.boxes if box not in (wiped, rig.leader()))
        rig.cluster.kill(gone)
        left = [box for box in rig.cluster.boxes if box != gone]
        assert rig.set_quota(51, left) > version

    def test_second_loss_before_recovery(self, rig: Rig) -> None:
        """With one controller wiped and another down, nothing is confirmed or reverted."""
        version = rig.set_quota(60)
        wiped, lost, kept = rig.cluster.boxes
        rig.cluster.wait_version(version)
        for box in (wiped, lost):
            rig.cluster.kill(box)
        rig.cluster.wipe_data(wiped)
        rig.cluster.start_box(wiped)
        wait_until(lambda: rig.cluster.status(wiped), f"{wiped} is up")
        time.sleep(3)
        assert not rig.cluster.status(wiped)["controller"]["may_vote"]
        answer = rig.confirm_at(kept, "too-few", _quota(61))
        assert answer.status == 503
        assert rig.quota(kept) == 60
        rig.cluster.start_box(lost)
        wait_until(lambda: rig.cluster.status(wiped)["controller"]["may_vote"], "taken in", 40)
        rig.cluster.wait_version(rig.set_quota(62))
        assert {rig.quota(box) for box in rig.cluster.boxes} == {62}

    def test_damaged_log(self, rig: Rig) -> None:
        """A controller with a damaged log does not vote until it is readmitted."""
        rig.set_quota(70)
        box = next(box for box in rig.cluster.boxes if box != rig.leader())
        rig.cluster.kill(box)
        log = rig.cluster.folder / f"{box}-data" / "log"
        damaged = bytearray(log.read_bytes())
        damaged[len(damaged) // 2] ^= 0x40
        log.write_bytes(damaged)
        rig.cluster.start_box(box)
        wait_until(lambda: rig.cluster.status(box)["controller"]["may_vote"], "taken in")
        assert "Data folder lost or damaged" in rig.cluster.log(box)


class TestEvenHalves:
    """A partition into halves of equal size."""

    def test_two_and_two(self, tmp_path: Path) -> None:
        """With four controllers partitioned into two and two, neither half confirms."""
        rig = Rig(tmp_path, zones="ab", boxes_per_zone=2, controllers=4)
        try:
            version = rig.set_quota(80)
            rig.cluster.wait_version(version)
            rig.proxy.cut_zone("a")
            time.sleep(2)
            for box in ("a1", "b1"):
                answer = rig.confirm_at(box, f"half-{box}", _quota(81))
                assert answer.status == 503
            assert all(rig.quota(box) == 80 for box in rig.cluster.boxes)
            rig.proxy.heal()
            assert rig.set_quota(82) > version
        finally:
            rig.close()


class TestManyChanges:
    """Restarts after hundreds of changes."""

    def test_all_killed_after_500(self, rig: Rig) -> None:
        """After 500 changes and a kill of all processes, the newest version is recovered."""
        leader = rig.leader()
        version = 0
        for number in range(500):
            command = f"change-{number}"
            answer = rig.confirm_at(leader, command, _quota(1000 + number))
            assert answer.status == 200, answer
            version = answer.fields["version"]
        for box in rig.cluster.boxes:
            rig.cluster.kill(box)
        order = list(rig.cluster.boxes)
        random.Random(7).shuffle(order)
        for box in order:
            rig.cluster.start_box(box)
            time.sleep(0.3)
        rig.cluster.wait_version(version)
        assert {rig.quota(box) for box in rig.cluster.boxes} == {1499}
        # Checks the controllers' state as well as the configuration in effect on each box.
        digest = _digest_of(rig, 1499, before=1498)
        resent = rig.cluster.confirm_plan("a1", digest, "change-499", _quota(1499))
        assert resent.fields == {"version": version}
        assert rig.set_quota(2000) == version + 1
        log_bytes = rig.cluster.status(leader)["controller"]["log_bytes"]
        assert log_bytes < 500_000


class TestPartitionedEntry:
    """An entry box restarted inside a partitioned zone."""

    def test_serves_and_takes_no_older_version(self, tmp_path: Path) -> None:
        """It serves with its zone's configuration, reports it as unconfirmed, and never reverts."""
        rig = Rig(tmp_path, boxes_per_zone=3)
        try:
            version = rig.set_quota(90)
            rig.cluster.wait_version(version)
            rig.proxy.cut_zone("c")
            rig.cluster.kill("c3")
            rig.cluster.start_box("c3")
            rig.cluster.wait_version(version, ["c3"])
            status = rig.cluster.status("c3")
            assert not status["is_confirmed_current"]
            assert status["version"] == version
            served = rig.cluster.submit("c3", "c~inside", [{"ms": 5}])
            assert (served.status, served.fields.get("zone")) == (200, "c")
            later = rig.set_quota(91, ["a1", "b1"])
            rig.proxy.heal()
            rig.cluster.wait_version(later, ["c3"])
        finally:
            rig.close()


class TestReplacedBoxes:
    """Boxes and controllers that are added and replaced."""

    def test_box_joins_through_a_joint_list(self, tmp_path: Path) -> None:
        """A joining box holds claims once the joint box list has settled."""
        overrides = {"timings": {"resubmission_window_ms": 2_000, "deadline_max_ms": 2_000}}
        cluster = Cluster(tmp_path, overrides=overrides)
        with cluster:
            assert cluster.submit("a1", "before", [{"ms": 1}]).status == 200
            cluster.add_box("a2")
            for box in ("a1", "b1", "c1"):
                cluster.stop(box)
                cluster.write_settings(box)
                cluster.start_box(box)
                cluster.wait_ready([box])
            listed = cluster.status("a1")["box_list"]
            assert "a2" not in listed["current"]
            cluster.start_box("a2")
            cluster.confirm([{"kind": "box-joining", "name": "a2", "zone": "a"}], ["a1"])
            joint = cluster.status("a1")["box_list"]
            assert (joint["epoch"], sorted(joint["next"])) == (1, ["a1", "a2", "b1", "c1"])
            assert cluster.submit("b1", "during", [{"ms": 1}]).status == 200
            wait_until(lambda: cluster.status("b1")["box_list"]["epoch"] == 2, "settled")
            assert "a2" in cluster.status("b1")["box_list"]["current"]
            wait_until(
                lambda: cluster.submit("a2", "after", [{"ms": 1}]).status == 200, "a2 serves"
            )
            assert max(cluster.starts().values()) == 1

    def test_controller_replaced(self, tmp_path: Path) -> None:
        """A new controller replaces an old one and becomes a voter."""
        rig = Rig(tmp_path, boxes_per_zone=2, controllers=3)
        try:
            cluster = rig.cluster
            old = next(box for box in cluster.controllers if box != rig.leader())
            new = f"{old[0]}2"
            cluster.stop(old)
            cluster.controllers[cluster.controllers.index(old)] = new
            for box in cluster.boxes:
                if box not in (old, new):
                    cluster.stop(box)
                cluster.write_settings(box)
            cluster.stop(new)
            for box in cluster.boxes:
                cluster.start_box(box)
            intents = [{"kind": "controller-replace", "old": old, "new": new}]
            cluster.confirm(intents, [box for box in cluster.controllers if box != new])
            wait_until(lambda: cluster.status(new)["controller"]["may_vote"], "taken in", 40)
            gone = next(box for box in cluster.controllers if box not in (new, rig.leader()))
            cluster.kill(gone)
            left = [box for box in cluster.controllers if box != gone]
            version = rig.set_quota(95, left)
            cluster.wait_version(version, left)
        finally:
            rig.close()
