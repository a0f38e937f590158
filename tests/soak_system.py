# SPDX-License-Identifier: MIT
"""A whole site whose machines' clocks, disks and settings files a test can disturb.

Owns a folder for each machine that a launcher starts. Relies on :mod:`standins.launch` for what
the files in it mean, and on the kernel's limit of a file's size for a disk that refuses writes.
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
    """The platform's programs; the controllers and every second entry process by the launcher."""

    @property
    def box_names(self) -> list[str]:
        """All controllers and entry processes."""
        return [*self.controllers, *self.entries]

    @property
    def launched_boxes(self) -> list[str]:
        """The machines whose clocks can step."""
        return [*self.controllers, *self.entries[::2]]

    def zone_of(self, name: str) -> str:
        """Return the zone of a machine."""
        return self._zones[name]

    def step_clock(self, name: str, offset_s: float) -> None:
        """Set a machine's time of day off by so many seconds."""
        path = self._launch_folder(name) / CLOCK
        whole = path.with_suffix(".new")
        whole.write_text(str(offset_s))
        # By renaming: the program may read it at any moment.
        whole.rename(path)

    def stall_storage(self, name: str, is_stalled: bool) -> None:
        """Let each sync of a controller wait until this is called again with false."""
        path = self._launch_folder(name) / STALL
        if is_stalled:
            path.touch()
        else:
            path.unlink()

    def refuse_writes(self, name: str, bytes_left: int) -> None:
        """Refuse what a controller writes beyond so many bytes behind the end of its log."""
        log = self._folder / name / "log"
        self._limit_file_size(name, log.stat().st_size + bytes_left)

    def accept_writes(self, name: str) -> None:
        """Take all of a controller's writes again."""
        self._limit_file_size(name, _UNLIMITED)

    def write_seeds(self, name: str, seeds: list[str], is_truncated: bool = False) -> None:
        """Write a machine's settings file with other seeds; cut short, it is no settings file."""
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
