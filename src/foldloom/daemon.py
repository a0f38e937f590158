# SPDX-License-Identifier: MIT
"""Entry point of ``foldloomd SETTINGS.yaml``: runs one box until SIGTERM or SIGINT.

Invalid usage or settings end the process with exit code 2.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from foldloom.exceptions import SettingsError
from foldloom.logs import start_logging
from foldloom.settings import Settings
from foldloom.settings_file import load_settings
from foldloom.static_peers.box import Box

# Exit code for invalid usage or settings; the same as in foldloom.cli.
_EXIT_USAGE = 2


async def run_box(settings: Settings) -> None:
    """Run a box; SIGTERM or SIGINT starts its planned stop, further signals have no effect."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    box = Box(settings)
    await box.start()
    await stop.wait()
    await box.stop()


def main() -> None:
    """Load the settings file given on the command line and run the box."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print("usage: foldloomd SETTINGS.yaml", file=sys.stderr)
        raise SystemExit(_EXIT_USAGE)
    try:
        settings = load_settings(sys.argv[1])
    except SettingsError as error:
        print(f"foldloomd: {error}", file=sys.stderr)
        raise SystemExit(_EXIT_USAGE) from None
    start_logging(settings.logs, settings.box)
    uvloop.run(run_box(settings))


if __name__ == "__main__":
    main()
