# SPDX-License-Identifier: MIT
"""A site whose clocks, disks and settings files a test can disturb.

Each box started by :mod:`standins.launch` has a folder with control files for the launcher. A full
disk is simulated with ``RLIMIT_FSIZE``.
"""

from __future__ import annotations

import re
import resource
from pathlib import Path

import msgspec

from platform_system import PlatformSystem
from standins.launch import CLOCK, STALL

LAUNCHER = Path(__file__).resolve().parent / "standins" / "launch.py"
_SEEDS_LINE = re.compile(r"^seed_nodes = .*$", re.MULTILINE)
_UNLIMITED = resource.RLIM_INFINITY


class SiteSystem(PlatformSystem):
    """A system whose controllers and every second entry process are started by the launcher."""

    @property
    def box_names(self) -> list[str]:
        """The names of all controllers and entry processes."""
        return [*self.controllers, *self.entries]

    @property
    def launched_boxes(self) -> list[str]:
        """The boxes started by the launcher, whose clocks can step."""
        return [*self.controllers, *self.entries[::2]]

    def zone_of(self, name: str) -> str:
        """Return the zone of a box."""
        return self._zones[name]

    def step_clock(self, name: str, offset_s: float) -> None:
        """Offset the wall clock of a box by *offset_s*."""
        path = self._launch_folder(name) / CLOCK
        new_path = path.with_suffix(".new")
        new_path.write_text(str(offset_s))
        # Atomic rename: the program may read the file at any time.
        new_path.rename(path)

    def stall_storage(self, name: str, is_stalled: bool) -> None:
        """Block or unblock every fsync of a controller."""
        path = self._launch_folder(name) / STALL
        if is_stalled:
            path.touch()
        else:
            path.unlink()

    def refuse_writes(self, name: str, bytes_left: int) -> None:
        """Fail a controller's writes beyond *bytes_left* after the current end of its log."""
        log = self._folder / name / "log"
        self._limit_file_size(name, log.stat().st_size + bytes_left)

    def accept_writes(self, name: str) -> None:
        """Remove the limit of a controller's writes."""
        self._limit_file_size(name, _UNLIMITED)

    def write_seeds(self, name: str, seeds: list[str], is_truncated: bool = False) -> None:
        """Write the settings file of a box with these seeds; truncated, it is invalid TOML."""
        line = f"seed_nodes = {msgspec.json.encode(seeds).decode()}"
        text = _SEEDS_LINE.sub(line, self._settings(name, is_first=False))
        if is_truncated:
            text = text[: text.index(line) + len(line) - 1]
        (self._folder / f"{name}.toml").write_text(text)

    def _limit_file_size(self, name: str, file_bytes_max: int) -> None:
        limits = (file_bytes_max, _UNLIMITED)
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, limits)

    def _launch_folder(self, name: str) -> Path:
        folder = self._folder / f"{name}.machine"
        folder.mkdir(exist_ok=True)
        return folder

    def _launch_command(self, name: str, command: list[str]) -> list[str]:
        if name not in self.launched_boxes:
            return command
        python, program = command
        return [python, str(LAUNCHER), str(self._launch_folder(name)), program]
