# SPDX-License-Identifier: MIT
"""Runs a platform program whose peer socket binds another address than the advertised one.

``run_behind_proxy.py PROGRAM`` binds the peer socket to ``FOLDLOOM_BOUND_PEER`` (``IP:port``); the
box keeps its name, which is the address of the proxy in front of it.
"""

from __future__ import annotations

import os
import runpy
import sys
from pathlib import Path
from typing import Any

import msgspec

BOUND_PEER = "FOLDLOOM_BOUND_PEER"


def main(program: Path) -> None:
    """Run *program* as ``__main__``."""
    # Import the program's modules instead of those in this file's folder.
    sys.path[0] = str(program.parent)
    import local_settings

    read = local_settings.read_settings

    def read_bound_elsewhere(path: str) -> Any:
        local = read(path)
        bound = msgspec.structs.replace(local.settings, listen=os.environ[BOUND_PEER])
        return local._replace(settings=bound)

    local_settings.read_settings = read_bound_elsewhere
    sys.argv = [str(program)]
    runpy.run_path(str(program), run_name="__main__")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
