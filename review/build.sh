#!/bin/sh
# The stand-ins need Python's standard library only: nothing to fetch, only a check that they load.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standins python3 -c "import http1, record, runner, system, worker"
