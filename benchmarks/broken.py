# SPDX-License-Identifier: MIT
"""Break one mechanism at a time on a scratch copy and see its test fail.

Run: ``.venv/bin/python benchmarks/broken.py [NAME ...]``. Writes ``benchmarks/broken.json``
and the table of docs/proofs.md. The tree itself is never changed.
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

_ROOT = Path(__file__).parent.parent
_RESULTS = Path(__file__).parent / "broken.json"
_AT_ONCE = 4
_TIMEOUT_S = 240


class Break(NamedTuple):
    """One mechanism taken out.

    Args:
        name: What is taken out.
        file: Below ``src/foldloom``.
        old: The text that stands there.
        new: What replaces it.
        test: The test that must fail.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


_CLAIMS = "tests/test_claims_faults.py::"
_CONTROL = "tests/test_controllers_faults.py::"
_PLACE = "tests/test_placement_faults.py::"
_OWNER = "tests/test_owners_state.py::"
_LINK = "tests/test_owners_endpoint_link.py::"
_CLIENT = "tests/test_owners_client.py::"
_CRASHES = "tests/test_owners_crashed_endpoints.py::"
_DECISIONS = "tests/test_owners_decisions.py::"

BREAKS = [
    Break(
        "copy before voting",
        "static_peers/claims/recovery.py",
        "return others <= self._copied_from",
        "return True",
        "tests/test_claims_recovery.py::TestVotingAgain::test_not_before_both_others_are_copied",
    ),
    Break(
        "second vote",
        "static_peers/claims/replicas.py",
        "> len(boxes) // 2",
        "> 0",
        _CLAIMS + "TestSameSubmissionAtOnce::test_runs_once_and_all_get_the_answer",
    ),
    Break(
        "withdrawal by the coordinator alone",
        "static_peers/entry/follow.py",
        "return self._ended(submission, target)",
        "return Followed(FollowEnd.RELEASED, None)",
        _CLAIMS + "TestLostMemory::test_killed_coordinator",
    ),
    Break(
        "all differing copies are kept",
        "static_peers/claims/table.py",
        "self._put(copied.submission, [*present, fresh])",
        "self._put(copied.submission, [fresh])",
        "tests/test_claims.py::TestClaimTable::test_differing_copies_are_all_kept",
    ),
    Break(
        "a vote dies with its voter's memory",
        "static_peers/claims/votes.py",
        "return max(known_life(box), *known_by_voters, 0)",
        "return 0",
        "tests/test_claims.py::TestVotes::test_vote_dies_with_its_voters_memory",
    ),
    Break(
        "attempt numbers",
        "static_peers/claims/table.py",
        "and held.attempt <= attempt",
        "",
        "tests/test_claims.py::TestClaimTable::test_late_withdrawal_leaves_the_newer_attempt",
    ),
    Break(
        "no not-run without a majority",
        "static_peers/entry/lookup.py",
        'return may_have_run("claim-no-quorum"',
        'return not_run("claim-no-quorum"',
        _CLAIMS + "TestCutZones::test_each_zone_in_turn",
    ),
    Break(
        "attempt id is echoed",
        "static_peers/endpoints/adapter.py",
        "if reply.attempt != attempt:",
        "if False:",
        _CLAIMS + "TestEndpointFaults::test_bad_answer_is_never_passed_on",
    ),
    Break(
        "bounded answers",
        "static_peers/endpoints/adapter.py",
        "if len(body) > most:",
        "if False:",
        _CLAIMS + "TestEndpointFaults::test_bad_answer_is_never_passed_on",
    ),
    Break(
        "what may have run is not retried",
        "static_peers/placement/retries.py",
        '    if service["restart"] != RESTART_AFTER_ENDPOINT_DEATH:\n        return False\n'
        "    return is_repeatable and is_endpoint_death(problem) and deaths < ENDPOINT_DEATHS_MAX",
        "    return True",
        _CLAIMS + "TestEndpointFaults::test_bad_answer_is_never_passed_on",
    ),
    Break(
        "jobs in flight end before a stop",
        "static_peers/entry_role.py",
        "await self._coordinator.finish_all()",
        "pass",
        "tests/test_path.py::TestStop::test_sigterm_under_load_loses_none",
    ),
    Break(
        "answers are handed over",
        "static_peers/entry_role.py",
        "taken = await self._follower.pass_answers_to(successors[0])",
        "taken = 0",
        _CLAIMS + "TestLostMemory::test_planned_stop_hands_answers_over",
    ),
    Break(
        "a wiped controller does not vote",
        "controllers/controller.py",
        'expected = self.controllers.get(box, "")',
        "return True",
        _CONTROL + "TestLostDisks::test_second_loss_before_recovery",
    ),
    Break(
        "a plan's digest is checked",
        "controllers/state.py",
        "if plan.digest != command.digest:",
        "if False:",
        _CONTROL + "TestOperators::test_race",
    ),
    Break(
        "command ids are remembered",
        "controllers/state.py",
        "if known is not None:",
        "if False:",
        _CONTROL + "TestOperators::test_resent_through_another_box",
    ),
    Break(
        "strict majority",
        "controllers/members.py",
        "return len(table) // 2 + 1",
        "return len(table) // 2",
        _CONTROL + "TestEvenHalves::test_two_and_two",
    ),
    Break(
        "log is read back",
        "controllers/log.py",
        "self._entries = list(recovered.entries)",
        "self._entries = []",
        _CONTROL + "TestManyChanges::test_all_killed_after_500",
    ),
    Break(
        "record checksums",
        "controllers/records.py",
        "if xxhash.xxh3_64_intdigest(content) != checksum:",
        "if False:",
        "tests/test_storage.py::TestStorageMachine",
    ),
    Break(
        "messages expire",
        "peers/wire.py",
        "if age_ms > frame.ttl_ms:",
        "if False:",
        "tests/test_wire.py::TestLateMessages::test_expired_is_dropped",
    ),
    Break(
        "older lives are not heard",
        "peers/lives.py",
        "if known is not None and life < known.life:",
        "if False:",
        "tests/test_wire.py::TestLateMessages::test_older_life_is_dropped",
    ),
    Break(
        "strangers are not heard",
        "peers/wire.py",
        "if sender not in self._peers:",
        "if False:",
        "tests/test_wire.py::TestStrangers::test_unknown_sender_is_counted",
    ),
    Break(
        "keys between boxes",
        "peers/curve.py",
        'is_known = key.decode("ascii") in self._keys',
        "is_known = True",
        "tests/test_wire.py::TestKeys",
    ),
    Break(
        "turns between customers",
        "static_peers/placement/shares.py",
        "self._deficits.move_to_end(customer)",
        "pass",
        "tests/test_placement.py::TestShares::test_flood_takes_no_more_than_its_share",
    ),
    Break(
        "leaving endpoints are heard of",
        "static_peers/endpoints/platform.py",
        'if one.state == "leaving"',
        "if False",
        _PLACE + "TestLeavingEndpoints::test_by_platform_list",
    ),
    Break(
        "a drain is put into the plan",
        "controllers/plans.py",
        '"state": LEAVING',
        '"state": ACTIVE',
        _PLACE + "TestLeavingEndpoints::test_by_confirmed_intent",
    ),
    Break(
        "overdue tasks eject an endpoint",
        "static_peers/placement/ejection.py",
        'self._eject(endpoint, "its tasks are overdue", now_ms)',
        "pass",
        _PLACE + "TestSickEndpoints::test_frozen_endpoint",
    ),
    Break(
        "a lost lease manager is replaced",
        "static_peers/entry_role.py",
        "            if self._parts.membership.is_serving(box)\n        }",
        "        }",
        _PLACE + "TestLostManager::test_another_takes_over",
    ),
    Break(
        "a delivered run is looked for after a new owner",
        "seed_discovery/owners/deliveries.py",
        "RunState.RECOVERING if order.is_resumed else RunState.QUEUED",
        "RunState.QUEUED",
        _OWNER + "TestTakeOver::test_nowhere_found_is_lost_only_after_the_lease",
    ),
    Break(
        "an earlier owner's lease is waited for",
        "seed_discovery/owners/recovery.py",
        "if now_ms >= bound.lost_at_ms:",
        "if True:",
        _DECISIONS + "TestRecovery::test_until_the_lease_has_lapsed",
    ),
    Break(
        "tombstones keep late copies out",
        "seed_discovery/owners/tombstones.py",
        "return 0 < delivery <= self.deliveries.get(holder, 0)",
        "return False",
        _OWNER + "TestHandOvers::test_a_late_copy_after_the_run_moved",
    ),
    Break(
        "a start is known until the deadline",
        "seed_discovery/owners/started_jobs.py",
        "deadline_ms + REMEMBERED_MS",
        "REMEMBERED_MS",
        _OWNER + "TestGivingUp::test_a_start_is_known_until_the_deadline",
    ),
    Break(
        "an end that comes too late speaks for its whole job",
        "seed_discovery/owners/state.py",
        "has_started = group.spec.job_id in self._lifecycle.started",
        "has_started = False",
        "tests/test_owners_renewed_session.py::TestBoxOfAnotherOwner",
    ),
    Break(
        "a start without an answer is stopped",
        "seed_discovery/owners/orders.py",
        "lifecycle.stop(run, now_ms)",
        "lifecycle.queue(run, now_ms)",
        _OWNER + "TestEnds::test_unanswered_start",
    ),
    Break(
        "a report from before an order says nothing of it",
        "seed_discovery/owners/reports.py",
        "if max(run.since_ms, run.stop_known_ms) >= asked_ms:",
        "if False:",
        _DECISIONS + "TestJudgeAbsence::test_running_is_lost",
    ),
    Break(
        "a stop is confirmed before the next start",
        "seed_discovery/owners/reports.py",
        "if run.state is RunState.STOPPING and run.stop_known_ms:",
        "if run.state is RunState.STOPPING:",
        _DECISIONS + "TestJudgeAbsence::test_stopping_waits_for_the_stop",
    ),
    Break(
        "no work beside orphaned runs",
        "seed_discovery/scheduling/endpoints.py",
        "            and not self.orphans\n",
        "",
        _OWNER + "TestTakeOver::test_unclaimed_run_is_stopped",
    ),
    Break(
        "an isolated owner waits",
        "seed_discovery/owners/zone_owner.py",
        "return not self._sessions.has_other(own, monotonic_ms())",
        "return False",
        "tests/test_owners_zone_owner.py::TestIsolation::test_own_grant_does_not_count",
    ),
    Break(
        "a lapsed session is announced",
        "seed_discovery/owners/sessions.py",
        "is_renewed = holder in self._lapsed",
        "is_renewed = False",
        "tests/test_owners_sessions.py::TestLapsedRights::test_told_before_any_end",
    ),
    Break(
        "a box that reaches nobody does not claim",
        "seed_discovery/owners/election.py",
        "if witnesses.asked and not witnesses.answered:",
        "if False:",
        "tests/test_owners_election.py::TestMayClaim::test_isolated",
    ),
    Break(
        "a claim waits for who still knows the owner",
        "seed_discovery/owners/election.py",
        "return least_silent_ms is None or least_silent_ms >= silent_ms",
        "return True",
        "tests/test_owners_election.py::TestMayClaim::test_somebody_hears_the_owner",
    ),
    Break(
        "tokens rise",
        "seed_discovery/owners/election.py",
        "max((highest_known >> _BOX_BITS) + 1,",
        "max(0,",
        "tests/test_owners_election.py::TestTokens::test_above_what_is_known",
    ),
    Break(
        "the longest lease ordered counts",
        "seed_discovery/owners/lease.py",
        "self._until_ms = max(self._until_ms, until_ms)",
        "self._until_ms = until_ms",
        "tests/test_owners_lease.py::TestEndpointClock::test_remembers_the_longest_lease",
    ),
    Break(
        "a job that ran at a silent owner is remembered",
        "seed_discovery/owners/connection.py",
        "if batch.has_started or batch.terms:",
        "if batch.terms:",
        _CLIENT + "TestGivingUp::test_done_at_an_owner_that_fell_silent_afterwards",
    ),
    Break(
        "a new owner's word covers its own term only",
        "seed_discovery/owners/withdrawal.py",
        "has_started=has_started or bool(terms - {owner.token})",
        "has_started=has_started",
        _CLIENT + "TestGivingUp::test_a_new_owner_knows_nothing_of_the_one_before",
    ),
    Break(
        "a cancel without a reply is no proof",
        "seed_discovery/owners/withdrawal.py",
        "any(answer is not Answer.NOT_STARTED",
        "any(answer is Answer.STARTED",
        _CLIENT + "TestGivingUp::test_no_answer",
    ),
    Break(
        "another term can't say that nothing started",
        "seed_discovery/owners/zone_owner.py",
        "is_asked = message.token in (0, self.token)",
        "is_asked = True",
        _CLIENT + "TestGivingUp::test_answered_by_a_later_term",
    ),
    Break(
        "a heartbeat revives no grant that has lapsed",
        "seed_discovery/owners/connection.py",
        "        self._end_lapsed_grant(now_ms)\n        is_new",
        "        is_new",
        _CLIENT + "TestGivingUp::test_a_heartbeat_is_handled_before_the_loss",
    ),
    Break(
        "an answer after the grant has lapsed says nothing",
        "seed_discovery/owners/cancels.py",
        "if connection.is_granted(owner, withdrawal.grant):",
        "if not reply.has_started:",
        _CLIENT + "TestGivingUp::test_a_right_that_lapses_while_the_owner_is_asked",
    ),
    Break(
        "a start is known until the last box's deadline",
        "seed_discovery/owners/deliveries.py",
        "self._lifecycle.started.note_delivered(task.job_id, spec.deadline_ms)",
        "pass",
        _OWNER + "TestGivingUp::test_a_start_is_known_to_a_box_that_asks_later",
    ),
    Break(
        "a late box believes no word of its owner",
        "seed_discovery/owners/cancels.py",
        "if monotonic_ms() >= withdrawal.believed_until_ms:",
        "if reply.has_started:",
        "tests/test_owners_late_words.py::TestAskedLate::test_two_pauses_with_a_heartbeat_between",
    ),
    Break(
        "nor an end that it handles late",
        "seed_discovery/owners/batches.py",
        "is_believed = monotonic_ms() < self.believed_until_ms and not run.terms - {token}",
        "is_believed = not run.terms - {token}",
        _CLIENT + "TestGivingUp::test_an_end_that_is_handled_too_late",
    ),
    Break(
        "a cancel that comes later takes back nothing of a newer one",
        "seed_discovery/owners/deliveries.py",
        "cancel.joined(known)",
        "cancel",
        "tests/test_owners_late_words.py::TestCancelled::test_an_older_cancel_arrives_later",
    ),
    Break(
        "deliveries of two lives have other numbers",
        "seed_discovery/owners/client.py",
        "itertools.count(1 + secrets.randbits(_DELIVERY_BITS))",
        "itertools.count(1)",
        _CLIENT + "TestEnds::test_meant_for_the_life_before",
    ),
    Break(
        "requests of two lives have other numbers",
        "peers/wire.py",
        "self._next_id = secrets.randbits(_REQUEST_ID_BITS)",
        "self._next_id = 0",
        "tests/test_owners_late_words.py::TestReplies::test_a_reply_to_an_earlier_life",
    ),
    Break(
        "a lost run is sent no more",
        "seed_discovery/owners/connection.py",
        "when it is back.\n            batch.clear()",
        "when it is back.\n            continue",
        _CLIENT + "TestLostOwner::test_a_lost_run_is_delivered_no_more",
    ),
    Break(
        "a cancel reaches no later delivery",
        "seed_discovery/owners/deliveries.py",
        "return not self.delivery or delivery <= self.delivery",
        "return True",
        _OWNER + "TestSameIdAgain",
    ),
    Break(
        "a full disk is opened again",
        "controllers/controller.py",
        "await self._reopen()",
        "pass",
        "tests/test_boxes_controllers.py::TestFullDisk",
    ),
    Break(
        "a cancelled request ends",
        "peers/wire.py",
        "async with TimeLimit(timeout_ms):\n                return await future",
        "return await asyncio.wait_for(future, timeout_ms / 1_000)",
        "tests/test_wire.py::TestCancelledRequests",
    ),
    Break(
        "a stopped task's next run goes on for longer",
        "seed_discovery/owners/stragglers.py",
        "return ran_ms > max(allowed_ms, STOPPED_FACTOR * stopped_after_ms)",
        "return ran_ms > allowed_ms",
        _OWNER + "TestStragglers::test_longer_than_anybody_expected",
    ),
    Break(
        "a caller's guess counts before a run is stuck",
        "seed_discovery/scheduling/groups.py",
        "return max(self.longest_ms, float(self.spec.estimate_ms))",
        "return self.longest_ms",
        _OWNER + "TestStragglers::test_a_long_task_among_short_ones",
    ),
    Break(
        "starts on their way to a draining endpoint are waited for",
        "seed_discovery/owners/zone_owner.py",
        "await self._orders.wait_for_starts(endpoints)",
        "pass",
        "tests/test_owners_zone_owner.py::TestDraining",
    ),
    Break(
        "an election ends with a majority",
        "controllers/election.py",
        "if votes >= self._controller.majority:\n                return True",
        "pass",
        "tests/test_controllers_election.py::TestOneIsGone::test_a_majority_is_enough",
    ),
    Break(
        "a confirm waits for its version",
        "static_peers/entry/operators.py",
        "await self._follow_confirmed(result.ok.version)",
        "pass",
        "tests/test_entry_operators.py::TestConfirm::test_its_operator_finds_it_here",
    ),
    Break(
        "reports go by the life",
        "seed_discovery/endpoints/records.py",
        "    if record.born_ms > known.born_ms:\n        return ReportVerdict.NEXT_LIFE\n"
        "    if record.born_ms < known.born_ms:",
        "    if False:",
        "tests/test_endpoints_catalog.py::TestLives::test_ready_again",
    ),
    Break(
        "an earlier life's reports are dropped",
        "seed_discovery/endpoints/records.py",
        "    if record.born_ms < known.born_ms:",
        "    if False:",
        "tests/test_endpoints_catalog.py::TestLives::test_whoever_told_it_last",
    ),
    Break(
        "a farewell is of a life that leaves",
        "seed_discovery/endpoints/records.py",
        "return not known.born_ms or known.state is EndpointState.DRAINING",
        "return True",
        "tests/test_endpoints_catalog.py::TestLives::test_a_farewell_that_was_held_up",
    ),
    Break(
        "answers tell lives apart",
        "seed_discovery/owners/endpoint_link.py",
        "if not answer_born_ms or answer_born_ms == born_ms:",
        "if True:",
        _LINK + "TestNextLife::test_its_answer_comes_first",
    ),
    Break(
        "no end is acknowledged after a broken poll",
        "seed_discovery/owners/endpoint_link.py",
        "self._last_sequence if self._has_just_answered else 0",
        "self._last_sequence",
        _LINK + "TestOtherLife::test_ends_are_kept_for_whoever_answers_next",
    ),
    Break(
        "leases meant for the life before",
        "seed_discovery/owners/endpoint_link.py",
        "if now_ms < self._misled_until_ms + LAPSE_MARGIN_MS:",
        "if False:",
        _LINK + "TestOtherLife::test_orders_for_the_life_before",
    ),
    Break(
        "a silent endpoint's lease is not renewed",
        "seed_discovery/owners/endpoint_link.py",
        "            and not self._is_silent\n",
        "",
        _LINK + "TestSilentEndpoint::test_its_lease_lapses",
    ),
    Break(
        "a next life's report ends what the one before ran",
        "seed_discovery/owners/state.py",
        "        candidate.begin_life()\n",
        "        self.note_lapsed(endpoint, now_ms)\n        candidate.begin_life()\n",
        _OWNER + "TestNextLife::test_an_order_that_reached_it",
    ),
    Break(
        "unanswered orders are stopped in the next life",
        "seed_discovery/owners/state.py",
        "        for stop in self._late_starts.stops_due((endpoint,), now_ms, now_ms):",
        "        for stop in ():",
        _OWNER + "TestNextLife::test_an_order_that_got_no_answer",
    ),
    Break(
        "a next life is told until it answers",
        "seed_discovery/owners/state.py",
        "        stops += self._late_starts.stops_due(answering, before_ms, now_ms)\n",
        "",
        _OWNER + "TestNextLife::test_it_is_told_until_it_answers",
    ),
    Break(
        "late orders outlive the endpoint that left",
        "seed_discovery/owners/state.py",
        """        self.note_lapsed(endpoint, now_ms)
        self._late_starts.end_life(endpoint)
""",
        """        self.note_lapsed(endpoint, now_ms)
""",
        _OWNER + "TestNextLife::test_one_that_follows_a_leave",
    ),
    Break(
        "a box that has forgotten an endpoint asks for all",
        "seed_discovery/fleet/joiner.py",
        "            if self._catalog.forgotten != forgotten:",
        "            if False:",
        "tests/test_fleet_joiner.py::TestForgottenEndpoint::test_it_is_told_again",
    ),
    Break(
        "a handler that has not begun is closed",
        "peers/wire.py",
        "            task.add_done_callback(lambda _task: reply.close())\n",
        "",
        "tests/test_wire.py::TestStop",
    ),
    Break(
        "reports of unnamed services are refused",
        "seed_discovery/fleet/registry.py",
        "return services is None or record.service in services",
        "return True",
        "tests/test_fleet_registry.py::TestServices::test_another_writers_report",
    ),
    Break(
        "a controller that has lost its configuration takes no reports",
        "seed_discovery/controller_box.py",
        "return None if self._is_first_start else frozenset()",
        "return None",
        "tests/test_controller_box.py::TestReports",
    ),
    Break(
        "a recovered log is synced",
        "controllers/storage.py",
        "            os.ftruncate(self._fd, good_bytes)\n            self._fsync(self._fd)\n",
        "            os.ftruncate(self._fd, good_bytes)\n",
        "tests/test_storage.py::TestStorageMachine",
    ),
    Break(
        "no work before a life's own record",
        "seed_discovery/scheduling/endpoints.py",
        "return not self.record.born_ms or self.record.born_ms >= born_ms",
        "return True",
        _OWNER + "TestNextLife::test_nothing_learned_of_the_life_before",
    ),
    Break(
        "a farewell ends no run of a life that answers",
        "seed_discovery/owners/endpoint_links.py",
        "return not link.born_ms or link.is_over or self._state.candidates[endpoint].is_idle",
        "return True",
        "tests/test_owners_endpoint_link.py::TestFarewell::test_of_the_life_before",
    ),
    Break(
        "a controller waits for its cached configuration",
        "seed_discovery/controller_box.py",
        "await self._holder.close()",
        "pass",
        "tests/test_controller_box.py::TestEnd::test_nothing_is_written_afterwards",
    ),
    Break(
        "a controller waits for the write of its log",
        "controllers/controller.py",
        """        await self._tasks.stop()
        await asyncio.to_thread(self.log.close)""",
        """        await self._tasks.stop()
        self._storage.close()""",
        "tests/test_controller_box.py::TestEnd::test_nor_is_a_snapshot",
    ),
    Break(
        "the clock of decisions counts a suspension",
        "clock.py",
        "if _HAS_BOOT_CLOCK:",
        "if False:",
        "tests/test_clock.py",
    ),
    Break(
        "limits of time are set anew after a suspension",
        "time_limits.py",
        "if not timeout.expired():",
        "if False:",
        "tests/test_time_limits.py",
    ),
    Break(
        "a reply bounds the age of its sender's messages",
        "peers/lives.py",
        "if least_ms > known.least_at(now_ms):",
        "if False:",
        "tests/test_peers_lives.py::TestSendersClock",
    ),
    Break(
        "a task that crashes its endpoints is given up",
        "seed_discovery/scheduling/crashes.py",
        "if count.alone and count.crashes >= _CRASHES_MAX_ALONE:",
        "if False:",
        _CRASHES + "TestGivenUp::test_at_once",
    ),
    Break(
        "a task whose endpoint crashed starts by itself",
        "seed_discovery/scheduling/placing.py",
        "candidate.is_idle if is_isolated else not places.isolation_on(candidate)",
        "True",
        _CRASHES + "TestNeighbours::test_each_starts_by_itself",
    ),
    Break(
        "a lapse in silence is no crash",
        "seed_discovery/owners/state.py",
        "        candidate.note_alive()\n",
        "        candidate.has_crashed = False\n",
        _CRASHES + "TestWhatCounts::test_a_silent_lapse_does_not",
    ),
    Break(
        "overdue endpoints are waited for",
        "seed_discovery/scheduling/admission.py",
        "if not room.total_milli and room.overdue_milli:",
        "if False:",
        "tests/test_owners_admission.py",
    ),
]


def run_one(broken: Break) -> dict[str, object]:
    """Break a scratch copy, run the test there, and return what came of it."""
    copy = Path(tempfile.mkdtemp(prefix="foldloom-broken-"))
    try:
        for name in ("src", "tests", "examples"):
            shutil.copytree(_ROOT / name, copy / name, ignore=shutil.ignore_patterns("*.egg-info"))
        shutil.copy(_ROOT / "pyproject.toml", copy)
        path = copy / "src" / "foldloom" / broken.file
        text = path.read_text(encoding="utf-8")
        if broken.old not in text:
            return {**broken._asdict(), "result": "text not found"}
        path.write_text(text.replace(broken.old, broken.new), encoding="utf-8")
        environment = {**os.environ, "PYTHONPATH": str(copy / "src")}
        # In one process: with several, a run that -x cuts short exits with 2, like a usage error.
        options = ["-x", "-n", "0", "-p", "no:cacheprovider"]
        command = [sys.executable, "-m", "pytest", *options, broken.test]
        done = subprocess.run(
            command, cwd=copy, env=environment, capture_output=True, timeout=_TIMEOUT_S, check=False
        )
        lines = done.stdout.decode("utf-8", "replace").splitlines()
        why = next((line for line in lines if line.startswith("E  ")), "")
        result = {0: "passed", 1: "failed"}.get(done.returncode, f"exit {done.returncode}")
        return {**broken._asdict(), "result": result, "why": why[1:].strip()[:160]}
    except subprocess.TimeoutExpired:
        return {**broken._asdict(), "result": f"no end within {_TIMEOUT_S} s", "why": ""}
    finally:
        shutil.rmtree(copy, ignore_errors=True)


def main() -> None:
    """Run the breaks named, or all, and write the results."""
    chosen = [one for one in BREAKS if not sys.argv[1:] or one.name in sys.argv[1:]]
    known = json.loads(_RESULTS.read_text()) if _RESULTS.exists() and sys.argv[1:] else []
    results = {one["name"]: one for one in known}
    with ThreadPoolExecutor(_AT_ONCE) as pool:
        for result in pool.map(run_one, chosen):
            results[str(result["name"])] = result
            print(f"{result['result']:>10}  {result['name']}  {result.get('why', '')}", flush=True)
    order = [results[one.name] for one in BREAKS if one.name in results]
    _RESULTS.write_text(json.dumps(order, indent=1) + "\n", encoding="utf-8")
    write_table(order)


def write_table(results: list[dict[str, object]]) -> None:
    """Write the table into docs/proofs.md."""
    page = _ROOT / "docs" / "proofs.md"
    begin, end = "<!-- broken: begin; written by benchmarks/broken.py -->", "<!-- broken: end -->"
    text = page.read_text(encoding="utf-8")
    lines = ["| taken out | test | result with it taken out | how it fails |", "|---|---|---|---|"]
    for one in results:
        test = str(one["test"]).removeprefix("tests/")
        why = str(one.get("why", "")).replace("|", "\\|")
        lines.append(f"| {one['name']} | `{test}` | {one['result']} | {why} |")
    before, after = text.partition(begin)[0], text.partition(end)[2]
    page.write_text(
        f"{before}{begin}\n\n" + "\n".join(lines) + f"\n\n{end}{after}", encoding="utf-8"
    )


if __name__ == "__main__":
    main()
