# SPDX-License-Identifier: MIT
"""Command-line tool: output, error messages and exit codes against a running box."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from cluster import Cluster, http


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Return a cluster of one box in one zone."""
    with Cluster(tmp_path_factory.mktemp("cli"), zones="a", controllers=1) as running:
        yield running


class TestIntents:
    """Guards the intent, plan, confirm and status commands."""

    def test_plan_and_confirm(self, cluster: Cluster, tmp_path: Path) -> None:
        """A confirmed plan takes effect; confirming it again is a conflict."""
        file, url = str(tmp_path / "intents.json"), cluster.url("a1")
        created = cluster.cli("intent", "member", "m7", "--quota", "3", "--file", file)
        assert created.returncode == 0, created.stderr
        planned = cluster.cli("plan", file, "--url", url)
        assert 'members m7: add {"quota":3' in planned.stdout
        plan = json.loads(cluster.cli("plan", file, "--url", url, "--json").stdout)
        confirmed = cluster.cli("confirm", file, plan["digest"], "--url", url, "--json")
        version = json.loads(confirmed.stdout)["version"]
        assert version > plan["base_version"]
        status = json.loads(cluster.cli("status", "--url", url, "--json").stdout)
        assert (status["version"], status["missing"]) == (version, [])
        stale = cluster.cli("confirm", file, plan["digest"], "--url", url)
        assert stale.returncode == 5
        assert "Traceback" not in stale.stderr

    def test_wrong_intent(self, cluster: Cluster, tmp_path: Path) -> None:
        """An intent with an unknown field is refused, and the error names the field."""
        file = tmp_path / "wrong.json"
        file.write_text('[{"kind": "member", "name": "m", "qouta": 1}]')
        answer = cluster.cli("plan", str(file), "--url", cluster.url("a1"))
        assert (answer.returncode, answer.stdout) == (3, "")
        assert "qouta" in answer.stderr


class TestExitCodes:
    """Guards the exit codes, which scripts rely on."""

    def test_submit(self, cluster: Cluster, tmp_path: Path) -> None:
        """Exit codes: complete 0, usage 2, refused 3, failed 4, conflict 5, unreachable 6."""
        url = cluster.url("a1")

        def submit(submission: str, service: str, payload: object, target: str = url) -> int:
            job = tmp_path / "job.json"
            body = {"service": service, "member": "m1", "tasks": [{"payload": payload}]}
            job.write_text(json.dumps(body))
            done = cluster.cli("submit", str(job), "--submission", submission, "--url", target)
            assert "Traceback" not in done.stderr
            return done.returncode

        assert submit("s0", "sleep", {"ms": 1}) == 0
        assert submit("s1", "nix", {"ms": 1}) == 3
        assert submit("s2", "sleep", {"fault": "error"}) == 4
        assert submit("s0", "sleep", {"ms": 2}) == 5
        assert submit("s3", "sleep", {"ms": 1}, "http://127.0.0.1:9") == 6
        assert cluster.cli("submit", str(tmp_path / "none.json")).returncode == 2

    def test_check_settings(self, cluster: Cluster, tmp_path: Path) -> None:
        """Valid settings exit with 0, invalid ones with 2 and one line on stderr."""
        good = cluster.cli("check-settings", str(cluster.folder / "a1.yaml"))
        assert (good.returncode, good.stderr) == (0, "")
        path = tmp_path / "bad.yaml"
        path.write_text("box: a1\n")
        bad = cluster.cli("check-settings", str(path))
        assert bad.returncode == 2
        assert len(bad.stderr.strip().splitlines()) == 1
        assert str(path) in bad.stderr

    def test_keys_and_version(self, cluster: Cluster, tmp_path: Path) -> None:
        """The secret key is written to a private file and never printed or overwritten."""
        path = tmp_path / "key"
        created = cluster.cli("keys", str(path))
        assert created.returncode == 0
        assert path.read_text().strip() not in created.stdout
        assert path.stat().st_mode & 0o077 == 0
        assert cluster.cli("keys", str(path)).returncode == 2
        assert cluster.cli("version").stdout.strip()


class TestOperatorsHttp:
    """Guards the authentication of the operator routes."""

    def test_token_is_required(self, cluster: Cluster) -> None:
        """Requests without a valid token get 401, and no token appears in the log."""
        for token in ("", "wrong"):
            assert http("GET", f"{cluster.url('a1')}/v1/status", token=token).status == 401
            assert http("POST", f"{cluster.url('a1')}/v1/intents", [], token).status == 401
        assert "operator-token" not in cluster.log("a1")
