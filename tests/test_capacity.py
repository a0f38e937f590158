# SPDX-License-Identifier: MIT
"""Guards against growth of messages, claims and envelopes beyond the capacity figures."""

from __future__ import annotations

import tracemalloc
from pathlib import Path

import pytest

from cluster import Cluster
from foldloom.peers.messages import Envelope, Frame, encode_body, encode_envelope, kind_of
from foldloom.static_peers.claims.messages import Claim, ClaimReply, ClaimRequest, Vote, Withdraw
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.static_peers.membership import Heartbeat, ShardLoad
from foldloom.static_peers.placement.messages import SlotGrant, SlotOutcome, SlotRequest, SlotReturn

_ID = "0f8fad5b-d9cb-469f-a165-70867728950e"
_INCARNATION = 1_790_000_000_000
_LEASE = 2**62


class TestBytes:
    """Sizes on the wire and in memory must stay within the capacity figures."""

    @pytest.mark.parametrize(
        ("message", "most"),
        [
            (Heartbeat(4, False, True, [ShardLoad("fleet", 99, 9, 0.0)], "", True, 3), 36),
            (ClaimRequest(_ID, "ab" * 16, _INCARNATION, 1, 0), 90),
            (
                ClaimReply(
                    Vote.GRANTED, _INCARNATION, {"a1": _INCARNATION, "b1": _INCARNATION}, []
                ),
                40,
            ),
            (Withdraw(_ID, _INCARNATION, 1), 50),
            (SlotRequest(9_999, "fleet", "sleep", "team-001", 1, 30_000, 1), 40),
            (SlotGrant(9_999, "worker-0001", _LEASE, 2_000), 30),
            (SlotReturn(_LEASE, "worker-0001", "sleep", 275.5, SlotOutcome.DONE), 45),
        ],
    )
    def test_message(self, message: object, most: int) -> None:
        """An encoded message is no larger than the capacity page assumes."""
        assert len(encode_body(message)) <= most

    def test_envelope(self) -> None:
        """An envelope of one message adds at most 48 bytes to its body."""
        body = encode_body(Withdraw(_ID, _INCARNATION, 1))
        frame = Frame(kind_of(Withdraw(_ID, _INCARNATION, 1)), 2**30, 0, 1_000, body)
        envelope = Envelope("box-in-zone-a", _INCARNATION, 2**31, [frame])
        assert len(encode_envelope(envelope)) - len(body) <= 48

    def test_claim_in_memory(self) -> None:
        """A held claim takes less than 500 bytes."""
        count = 5_000
        tracemalloc.start()
        table = ClaimTable(10**9, 10**7)
        for number in range(count):
            submission = f"0f8fad5b-d9cb-469f-a165-{number:012d}"
            table.decide_vote(
                submission, Claim("ab" * 16, f"box{number % 9}", _INCARNATION, 1), number
            )
        traced_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert traced_bytes / count < 500


class TestMessagesPerJob:
    """Messages between boxes per job on an idle cluster."""

    def test_claim_messages(self, tmp_path: Path) -> None:
        """A job costs at most four claim messages, two if its box is a claim replica."""
        with Cluster(tmp_path, boxes_per_zone=2) as cluster:
            jobs = 20
            for number in range(jobs):
                assert cluster.submit("a1", f"count-{number}", [{"ms": 1}]).status == 200
            total = 0
            for box in cluster.boxes:
                metrics = cluster.status(box)["metrics"]
                total += metrics.get("messages.sent.ClaimRequest", 0)
                total += metrics.get("messages.sent.ClaimReply", 0)
            assert 2 * jobs <= total <= 4 * jobs
