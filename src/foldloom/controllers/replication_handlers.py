# SPDX-License-Identifier: MIT
"""The follower's side of replication: Raft's AppendEntries and InstallSnapshot.

Follows Ongaro and Ousterhout, 2014, sections 5.3 and 7: messages of older terms are rejected,
entries are accepted only after an entry that both logs share, and a reply is sent only once the
entries are durable.
"""

from __future__ import annotations

from foldloom.controllers.messages import Append, AppendReply, InstallSnapshot
from foldloom.controllers.participant import Replica


class ReplicationHandlers:
    """Handles the leader's appends and snapshots for one controller.

    Args:
        controller: The controller.
    """

    def __init__(self, controller: Replica) -> None:
        self._controller = controller
        controller.network.on(Append, self._on_append)
        controller.network.on(InstallSnapshot, self._on_install)

    async def _on_append(self, sender: str, message: Append) -> AppendReply | None:
        async with self._controller.state_lock:
            try:
                return await self._accept_entries(sender, message)
            except OSError as error:
                self._controller.fail(error)
                return None

    async def _accept_entries(self, sender: str, message: Append) -> AppendReply | None:
        if not await self._accept_leader(sender, message.term):
            return None if self._controller.is_failed else self._append_reply(False, 0)
        if message.prev_index > self._controller.log.last_index:
            return self._append_reply(False, self._controller.log.last_index)
        prev_term = self._controller.log.term_at(message.prev_index)
        if prev_term is not None and prev_term != message.prev_term:
            return self._append_reply(
                False, max(self._controller.applied.commit_index, message.prev_index - 1)
            )
        if prev_term is None and message.prev_index > self._controller.log.snapshot.last_index:
            return self._append_reply(False, self._controller.log.snapshot.last_index)
        await self._controller.log.accept(message.entries)
        self._controller.applied.record_accepted(message.prev_index)
        self._controller.contact.restart_election_timer()
        match_index = message.prev_index + len(message.entries)
        self._controller.commit(min(message.commit_index, match_index))
        return self._append_reply(True, match_index)

    async def _on_install(self, sender: str, message: InstallSnapshot) -> AppendReply | None:
        async with self._controller.state_lock:
            try:
                if not await self._accept_leader(sender, message.term):
                    return None if self._controller.is_failed else self._append_reply(False, 0)
                await self._controller.log.compact(message.snapshot)
            except OSError as error:
                self._controller.fail(error)
                return None
            self._controller.applied.load(message.snapshot)
            return self._append_reply(True, message.snapshot.last_index)

    async def _accept_leader(self, sender: str, term: int) -> bool:
        """Return whether *sender* is accepted as the leader of *term*; adopt a newer term.

        Raises:
            OSError: The disk failed.
        """
        if self._controller.is_failed or term < self._controller.log.term:
            return False
        if term > self._controller.log.term:
            await self._controller.adopt_term(term)
        self._controller.follow(sender)
        return True

    def _append_reply(self, is_ok: bool, match_index: int) -> AppendReply:
        return AppendReply(
            self._controller.log.term,
            is_ok,
            match_index,
            self._controller.storage_id,
            self._controller.is_first,
        )
