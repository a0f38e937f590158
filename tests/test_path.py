# SPDX-License-Identifier: MIT
"""End-to-end path of a job: submission, placement, answers, and the planned stop."""

from __future__ import annotations

import re
import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from cluster import Cluster, HttpAnswer, http


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Three boxes, three endpoints."""
    with Cluster(tmp_path_factory.mktemp("path")) as running:
        yield running


class TestSubmit:
    """Submissions by a caller."""

    def test_answers_in_order(self, cluster: Cluster) -> None:
        """A job's answers are complete and in task order."""
        payloads = [{"ms": ms} for ms in (60, 10, 40, 20)]
        answer = cluster.submit("a1", "order", payloads)
        assert answer.status == 200
        assert answer.fields["verdict"] == "complete"
        assert [item["echo"] for item in answer.fields["answers"]] == payloads

    def test_one_log_line_a_placement(self, cluster: Cluster) -> None:
        """Each placement is logged in one line with task, attempt, endpoint and lease."""
        cluster.submit("b1", "logged", [{"ms": 1}] * 3)
        lines = [line for line in cluster.log("b1").splitlines() if " task logged/" in line]
        # An unreachable endpoint causes a retry, which is logged in one line.
        retries = [line for line in lines if "place: Retrying task " in line]
        placements = [line for line in lines if line not in retries]
        assert len(placements) == 3 + len(retries)
        pattern = r"place: Starting task (logged/\d) on \w+ as attempt (\S+) with lease (\d+)\.$"
        matches = [re.search(pattern, line) for line in placements]
        assert all(matches)
        placed = [match.groups() for match in matches if match is not None]
        assert {task for task, _, _ in placed} == {"logged/0", "logged/1", "logged/2"}
        # Attempt ids and lease ids are unique.
        assert len({attempt for _, attempt, _ in placed}) == len(placed)
        assert len({lease for _, _, lease in placed}) == len(placed)

    def test_many_jobs_through_two_boxes(self, cluster: Cluster) -> None:
        """200 jobs of 20 tasks through two boxes each get their own complete answers."""

        def run(number: int) -> bool:
            payloads = [{"ms": 5, "job": number, "task": task} for task in range(20)]
            answer = cluster.submit("ab"[number % 2] + "1", f"many-{number}", payloads)
            return [item["echo"] for item in answer.fields["answers"]] == payloads

        with ThreadPoolExecutor(16) as pool:
            assert all(pool.map(run, range(200)))

    def test_get_starts_nothing(self, cluster: Cluster) -> None:
        """GET returns 404 for an unknown job and the response of a finished one."""
        unknown = http("GET", f"{cluster.url('a1')}/v1/jobs/never")
        assert (unknown.status, unknown.fields["run"]) == (404, "not-run")
        submitted = cluster.submit("a1", "known", [{"ms": 1}])
        assert http("GET", f"{cluster.url('c1')}/v1/jobs/known").fields == submitted.fields

    @pytest.mark.parametrize(
        ("body", "status", "field"),
        [
            ({"member": "m1", "tasks": [{"payload": 1}]}, 400, "service"),
            ({"service": "sleep", "member": "m1", "tasks": []}, 400, "tasks"),
            ({"service": "sleep", "member": "m1", "tasks": [{}]}, 400, "tasks[0].payload"),
            ({"service": "sleep", "member": "a\nb", "tasks": [{"payload": 1}]}, 400, "member"),
            (b"{", 400, "truncated"),
            ({"service": "nix", "member": "m1", "tasks": [{"payload": 1}]}, 404, "service"),
            ({"service": "s", "member": "m", "tasks": [{"payload": 1}] * 2001}, 413, "tasks"),
            (b" " * (9 * 1024 * 1024), 413, "body"),
        ],
    )
    def test_bad_input(self, cluster: Cluster, body: object, status: int, field: str) -> None:
        """Bad input is refused as not run, with the field in the detail."""
        answer = http("PUT", f"{cluster.url('a1')}/v1/jobs/bad", body)
        assert answer.status == status
        assert answer.fields["verdict"] == "refused"
        assert answer.fields["run"] == "not-run"
        assert field in answer.fields["detail"]

    def test_same_id_other_content(self, cluster: Cluster) -> None:
        """Reuse of a submission id with other content gets 409 on every box."""
        cluster.submit("a1", "twice", [{"ms": 1}])
        for box in cluster.boxes:
            answer = cluster.submit(box, "twice", [{"ms": 2}])
            assert (answer.status, answer.fields["verdict"]) == (409, "refused")


class TestStop:
    """The planned stop."""

    def test_sigterm_under_load_loses_none(self, tmp_path: Path) -> None:
        """Jobs in flight complete despite two SIGTERMs; a resubmission starts no task again."""
        with Cluster(tmp_path) as cluster:

            def run(number: int) -> HttpAnswer:
                return cluster.submit("a1", f"stop-{number}", [{"ms": 400}] * 3)

            with ThreadPoolExecutor(8) as pool:
                answers = [pool.submit(run, number) for number in range(8)]
                while cluster.log("a1").count("Starting task") < 24:
                    pass
                cluster.signal("a1", signal.SIGTERM)
                cluster.signal("a1", signal.SIGTERM)
                assert all(answer.result().status == 200 for answer in answers)
            assert cluster.processes["a1"].wait(20) == 0
            resubmitted = cluster.submit("b1", "stop-0", [{"ms": 400}] * 3)
            assert resubmitted.status == 200
            assert max(cluster.starts().values()) == 1
