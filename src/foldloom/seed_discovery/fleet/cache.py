# SPDX-License-Identifier: MIT
"""The published configuration on a controller's disk, to be handed out right after a restart.

Owns one file of the data folder. Relies on rename being atomic.

What stands there was committed once, so it may be obeyed; whether it is the newest is known only
once a leader has shown it. It is written without a sync: after a loss of power an older one, or
none, does no harm.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import xxhash

from foldloom.controllers.state import NO_PUBLICATION, Publication
from foldloom.controllers.storage import write_whole
from foldloom.logs import CONFIG_LOG

_FILE_NAME = "published"
# xxh3 of 64 bits, in front of the body.
_CHECKSUM_BYTES = 8
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Publication)


class PublicationCache:
    """A file that holds the newest publication, if it could be written.

    Args:
        folder: The data folder.
    """

    def __init__(self, folder: str) -> None:
        self._path = Path(folder) / _FILE_NAME
        self._pending: Publication | None = None
        self._writing: asyncio.Task[None] | None = None

    def read(self) -> Publication:
        """Return what is kept; nothing if it is damaged or missing."""
        try:
            data = self._path.read_bytes()
            body = data[_CHECKSUM_BYTES:]
            if data[:_CHECKSUM_BYTES] != xxhash.xxh3_64_digest(body):
                return NO_PUBLICATION
            return _DECODER.decode(body)
        except FileNotFoundError:
            # Nothing was published yet, or the disk is new.
            return NO_PUBLICATION
        except (OSError, msgspec.DecodeError) as error:
            CONFIG_LOG.warning("The cached configuration can't be used: {}.", error)
            return NO_PUBLICATION

    def write_soon(self, publication: Publication) -> None:
        """Write *publication* in a thread; of several that wait only the newest."""
        self._pending = publication
        if self._writing is None or self._writing.done():
            self._writing = asyncio.get_running_loop().create_task(self._write())

    async def close(self) -> None:
        """Wait until all that was given is written; nothing may be given afterwards.

        A write that outlived its controller would meet whoever has the folder next: 0.3 s later
        with a write as slow as that (``tests/test_controller_box.py``).
        """
        if self._writing is not None:
            await self._writing

    async def _write(self) -> None:
        while self._pending is not None:
            publication, self._pending = self._pending, None
            body = _ENCODER.encode(publication)
            data = xxhash.xxh3_64_digest(body) + body
            try:
                await asyncio.to_thread(write_whole, self._path, data, lambda _fd: None)
            except OSError as error:
                CONFIG_LOG.warning("The configuration could not be cached: {}.", error)
