# SPDX-License-Identifier: MIT
"""On-disk cache of the published configuration, served by a controller right after a restart.

Owns one file of the data folder, replaced by an atomic rename.

The cached configuration was committed, so it is safe to apply, but it may be outdated until the
leader confirms it. Writes are not synced: an older or missing file after a power loss is harmless.
"""

from __future__ import annotations

import asyncio
import errno
from functools import partial
from pathlib import Path
from threading import Lock
from weakref import WeakValueDictionary

import msgspec
import xxhash

from foldloom.controllers.state import NO_PUBLICATION, Publication
from foldloom.controllers.storage import write_atomically
from foldloom.daemon_threads import call_in_daemon_thread
from foldloom.logs import CONFIG_LOG
from foldloom.time_limits import SuspendAwareTimeout

_FILE_NAME = "published"
# 64-bit xxh3 digest that precedes the body.
_CHECKSUM_BYTES = 8
# How long a stop waits for pending writes.
_CLOSE_TIMEOUT_MS = 1_000.0
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Publication)
# Held during each write of a file, so that a write that was given up and one of the folder's next
# user in the same process do not overlap.
_LOCKS: WeakValueDictionary[Path, Lock] = WeakValueDictionary()


class PublicationCache:
    """A file with the newest publication, written on a best-effort basis.

    Args:
        folder: The data folder.
    """

    def __init__(self, folder: str) -> None:
        self._path = Path(folder) / _FILE_NAME
        self._pending: Publication | None = None
        self._writing: asyncio.Task[None] | None = None
        self._disk_lock = _LOCKS.setdefault(self._path.absolute(), Lock())
        self._is_closed = False

    def read(self) -> Publication:
        """Return the cached publication, or ``NO_PUBLICATION`` if it is missing or damaged."""
        try:
            data = self._path.read_bytes()
            body = data[_CHECKSUM_BYTES:]
            if data[:_CHECKSUM_BYTES] != xxhash.xxh3_64_digest(body):
                return NO_PUBLICATION
            return _DECODER.decode(body)
        except FileNotFoundError:
            # Nothing has been published yet, or the disk was replaced.
            return NO_PUBLICATION
        except (OSError, msgspec.DecodeError) as error:
            CONFIG_LOG.warning("Cannot read the cached configuration: {}.", error)
            return NO_PUBLICATION

    def write_soon(self, publication: Publication) -> None:
        """Write *publication* in a thread; of several pending ones only the newest is written."""
        self._pending = publication
        if self._writing is None or self._writing.done():
            self._writing = asyncio.get_running_loop().create_task(self._write())

    async def close(self) -> None:
        """Wait for pending writes; :meth:`write_soon` must not be called afterwards.

        A write that outlives its controller could overwrite the file of the folder's next user. One
        that does not end in time, because the disk blocks, is given up: its thread does not replace
        the file afterwards.
        """
        if self._writing is None:
            return
        try:
            async with SuspendAwareTimeout(_CLOSE_TIMEOUT_MS):
                await self._writing
        except TimeoutError:
            CONFIG_LOG.warning(
                "Writing the configuration cache was given up after {:.0f} ms.", _CLOSE_TIMEOUT_MS
            )
        finally:
            self._is_closed = True

    async def _write(self) -> None:
        while self._pending is not None:
            publication, self._pending = self._pending, None
            body = _ENCODER.encode(publication)
            data = xxhash.xxh3_64_digest(body) + body
            try:
                await call_in_daemon_thread(partial(self._replace_file, data), "cache")
            except OSError as error:
                CONFIG_LOG.warning("Cannot write the configuration cache: {}.", error)

    def _replace_file(self, data: bytes) -> None:
        with self._disk_lock:
            self._check_open()
            write_atomically(self._path, data, lambda _fd: self._check_open())

    def _check_open(self) -> None:
        """Raise if the write was given up; called before the file is replaced.

        Raises:
            OSError: The cache is closed.
        """
        if self._is_closed:
            raise OSError(errno.EIO, "the configuration cache is closed")
