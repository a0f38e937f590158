# SPDX-License-Identifier: MIT
"""The published configuration in effect on this box; its version only increases.

Controllers push new versions; a missed one is pulled from a peer that has it.
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.controllers.state import NO_PUBLICATION, Publication
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import CONFIG_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.fleet.cache import PublicationCache
from foldloom.seed_discovery.fleet.messages import Noted, Published, PullPublished

# Timeout of a pull; allows for documents of some megabytes on a slow link.
_PULL_TIMEOUT_MS = 800


class PublishedHolder:
    """Holds the newest committed publication received by this box.

    Args:
        network: The peer network.
        on_change: Called with each newer publication, after it takes effect.
        cache: Cache that survives a restart; ``None`` on a box without a disk.
    """

    def __init__(
        self,
        network: PeerNetwork,
        on_change: Callable[[Publication], None],
        cache: PublicationCache | None = None,
    ) -> None:
        self._network = network
        self._on_change = on_change
        self._cache = cache
        self._publication = NO_PUBLICATION if cache is None else cache.read()
        self._pulling_from: set[str] = set()
        network.on(Published, self._on_published)
        network.on(PullPublished, self._on_pull)

    @property
    def publication(self) -> Publication:
        """The publication in effect."""
        return self._publication

    @property
    def version(self) -> int:
        """The version in effect; 0 before the first publication."""
        return self._publication.version

    def adopt(self, publication: Publication) -> None:
        """Adopt *publication* if it is newer."""
        if publication.version <= self._publication.version:
            return
        self._publication = publication
        CONFIG_LOG.event("config.held", version=publication.version)
        self._on_change(publication)
        if self._cache is not None:
            self._cache.write_soon(publication)

    async def pull_newer(self, box: str, version: int) -> None:
        """Pull the publication from *box* if its *version* is newer than the one in effect."""
        if version <= self.version or box in self._pulling_from:
            return
        self._pulling_from.add(box)
        try:
            pull = PullPublished(self.version)
            reply: Published = await self._network.request(box, pull, _PULL_TIMEOUT_MS)
            self.adopt(reply.publication)
        except PeerUnreachableError:
            # Retried at the next heartbeat or join that carries a newer version.
            return
        finally:
            self._pulling_from.discard(box)

    async def close(self) -> None:
        """Wait for pending cache writes; the network must have been stopped before."""
        if self._cache is not None:
            await self._cache.close()

    def _on_published(self, _sender: str, message: Published) -> Noted:
        self.adopt(message.publication)
        return Noted()

    def _on_pull(self, _sender: str, message: PullPublished) -> Published:
        if message.have >= self.version:
            return Published(NO_PUBLICATION)
        return Published(self._publication)
