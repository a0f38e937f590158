# SPDX-License-Identifier: MIT
"""``foldloomd SETTINGS.yaml``: run one box until a signal stops it.

Owns the event loop and the signals. Relies on the settings file; a wrong one ends the process with
exit code 2.
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

# Exit code of wrong usage or settings, as the command-line tool's.
_EXIT_USAGE = 2


async def run_box(settings: Settings) -> None:
    """Run a box; SIGTERM or SIGINT begins the planned stop, further ones change nothing."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    box = Box(settings)
    await box.start()
    await stop.wait()
    await box.stop()


def main() -> None:
    """Read the settings named on the command line and run the box."""
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
