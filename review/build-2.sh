#!/bin/sh
# Build the stand-ins of the cases 4 to 8: plain Python, so they are only compiled as a check.
# They need the packages that the build of deploy/system.toml puts under target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'PY'
from pathlib import Path
import aiohttp, msgspec  # noqa: F401  (declared in requirements.txt)
for path in sorted([*Path("review/standins-2").glob("*.py"), *Path("review").glob("[4-8]/*.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("compiled", path)
PY
