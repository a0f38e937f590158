"""The record of what was sent, answered and run; written to ``record.txt`` of a case."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """A file of lines, each with the seconds since the start.

    Args:
        path: The file, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
