# SPDX-License-Identifier: MIT
"""Start three boxes in three zones and three endpoints on loopback, and run one job.

The processes stop after the job, or after an hour with ``--keep``.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from cluster import TOKEN, Cluster  # noqa: E402

_JOB = {
    "service": "sleep",
    "member": "m1",
    "tasks": [{"payload": {"ms": ms}} for ms in (50, 120, 300, 80)],
}


def main() -> None:
    """Run the example."""
    folder = Path(tempfile.mkdtemp(prefix="foldloom-"))
    with Cluster(folder) as cluster:
        job = folder / "job.json"
        job.write_text(json.dumps(_JOB))
        url = cluster.url("a1")
        print(f"Boxes are up; settings, logs and data are in {folder}.")
        print(cluster.cli("status", "--url", url).stdout)
        start_s = time.monotonic()
        submission = cluster.cli("submit", str(job), "--url", url)
        print(submission.stdout or submission.stderr)
        print(f"One job of {len(_JOB['tasks'])} tasks in {time.monotonic() - start_s:.2f} s.")
        if "--keep" in sys.argv:
            print(f"FOLDLOOM_URL={url} FOLDLOOM_TOKEN={TOKEN}; Ctrl-C ends it.")
            time.sleep(3600)
        if submission.returncode:
            raise SystemExit(submission.returncode)


if __name__ == "__main__":
    main()
