# SPDX-License-Identifier: MIT
"""Mutation tests: disable one mechanism at a time and check that its test fails.

Run: ``.venv/bin/python benchmarks/broken.py [NAME ...]``. Writes ``benchmarks/broken.json``
and the table of docs/proofs.md. Each mutation is applied to a scratch copy of the tree.
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
_PARALLEL_RUNS = 4
_TIMEOUT_S = 240


class Mutation(NamedTuple):
    """A mutation that disables one mechanism.

    Args:
        name: The mechanism.
        file: Path below ``src/foldloom``.
        old: Text to replace.
        new: Its replacement.
        test: The test that must fail.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


_CLAIMS_FAULTS = "tests/test_claims_faults.py::"
_CONTROLLERS_FAULTS = "tests/test_controllers_faults.py::"
_PLACEMENT_FAULTS = "tests/test_placement_faults.py::"
_OWNERS_STATE = "tests/test_owners_state.py::"
_ENDPOINT_LINK = "tests/test_owners_endpoint_link.py::"
_OWNERS_CLIENT = "tests/test_owners_client.py::"
_CRASHED_ENDPOINTS = "tests/test_owners_crashed_endpoints.py::"
_OWNERS_DECISIONS = "tests/test_owners_decisions.py::"
_QUEUE_COST = "tests/test_owners_queue_cost.py::"
_SILENT_SPEEDS = "tests/test_owners_silent_speeds.py::"
_OVERLOAD = "tests/test_scheduling_overload.py::"

MUTATIONS = [
    Mutation(
        "a deregistration is no end",
        "seed_discovery/owners/endpoint_links.py",
        "return self._links[endpoint].is_over or (candidate.is_idle and candidate.has_reported)",
        "return self._catalog.get(endpoint) is not None or candidate.is_idle",
        _ENDPOINT_LINK + "TestFarewellForGood::test_it_is_still_there",
    ),
    Mutation(
        "an endpoint that has not reported may have runs",
        "seed_discovery/owners/endpoint_links.py",
        "(candidate.is_idle and candidate.has_reported)",
        "candidate.is_idle",
        _ENDPOINT_LINK + "TestFarewellForGood::test_it_has_not_reported",
    ),
    Mutation(
        "a deregistered endpoint that nothing listens for has ended",
        "seed_discovery/owners/endpoint_link.py",
        "            return self.record.has_left\n",
        "            return False\n",
        _ENDPOINT_LINK + "TestFarewellForGood::test_it_has_ended",
    ),
    Mutation(
        "leases beside orphaned runs are limited",
        "seed_discovery/owners/earlier_terms.py",
        'return self.orphans_expire_ms if candidate.orphans else float("inf")',
        'return float("inf")',
        "tests/test_owners_lost_holders.py::TestLostOwners",
    ),
    Mutation(
        "the time that a lost box was last alive is passed on",
        "seed_discovery/owners/zone_owner.py",
        "            self._state.earlier_confirmed_ms(now_ms),\n",
        "",
        "tests/test_owners_lost_holders.py::TestLostOwners::test_handed_over_twice",
    ),
    Mutation(
        "an owner tells of boxes that were lost before it",
        "seed_discovery/owners/zone_owner.py",
        "            self._sessions.confirmed_ms(self._view.own.box),\n",
        "",
        "tests/test_owners_lost_holders.py::TestLostOwners",
    ),
    Mutation(
        "copy before voting",
        "static_peers/claims/recovery.py",
        "return others <= self._copied_from",
        "return True",
        "tests/test_claims_recovery.py::TestVotingAfterRestart::test_not_before_both_others_are_copied",
    ),
    Mutation(
        "second vote",
        "static_peers/claims/replicas.py",
        "> len(boxes) // 2",
        "> 0",
        _CLAIMS_FAULTS + "TestSameSubmissionAtOnce::test_runs_once_and_all_get_the_answer",
    ),
    Mutation(
        "withdrawal by the coordinator alone",
        "static_peers/entry/follow.py",
        "return self._ended(submission, target)",
        "return Followed(FollowEnd.RELEASED, None)",
        _CLAIMS_FAULTS + "TestKilledBoxes::test_killed_coordinator",
    ),
    Mutation(
        "all differing copies are kept",
        "static_peers/claims/table.py",
        "self._put(copied.submission, [*present, fresh])",
        "self._put(copied.submission, [fresh])",
        "tests/test_claims.py::TestClaimTable::test_conflicting_copies_are_all_kept",
    ),
    Mutation(
        "a vote dies with its voter's memory",
        "static_peers/claims/votes.py",
        "return max(known_incarnation_of(box), *known_by_voters, 0)",
        "return 0",
        "tests/test_claims.py::TestVotes::test_vote_of_earlier_incarnation_is_invalid",
    ),
    Mutation(
        "attempt numbers",
        "static_peers/claims/table.py",
        "and held.attempt <= attempt",
        "",
        "tests/test_claims.py::TestClaimTable::test_late_withdrawal_leaves_the_newer_attempt",
    ),
    Mutation(
        "no not-run without a majority",
        "static_peers/entry/lookup.py",
        'return may_have_run("claim-no-quorum"',
        'return not_run("claim-no-quorum"',
        _CLAIMS_FAULTS + "TestPartitions::test_each_zone_in_turn",
    ),
    Mutation(
        "split votes have a winner",
        "static_peers/entry/coordinator.py",
        "if not result.has_precedence:",
        "if True:",
        "tests/test_claims_contention.py",
    ),
    Mutation(
        "attempt id is echoed",
        "static_peers/endpoints/adapter.py",
        "if reply.attempt != attempt:",
        "if False:",
        _CLAIMS_FAULTS + "TestEndpointFaults::test_bad_answer_is_never_passed_on",
    ),
    Mutation(
        "bounded answers",
        "static_peers/endpoints/adapter.py",
        "if len(body) > most:",
        "if False:",
        _CLAIMS_FAULTS + "TestEndpointFaults::test_bad_answer_is_never_passed_on",
    ),
    Mutation(
        "what may have run is not retried",
        "static_peers/placement/retries.py",
        '    if service["restart"] != RESTART_AFTER_ENDPOINT_CRASH:\n        return False\n'
        "    return is_repeatable and is_endpoint_crash(problem) and crashes"
        " < ENDPOINT_CRASHES_MAX",
        "    return True",
        _CLAIMS_FAULTS + "TestEndpointFaults::test_bad_answer_is_never_passed_on",
    ),
    Mutation(
        "jobs in flight end before a stop",
        "static_peers/entry_role.py",
        "await self._coordinator.wait_all_finished()",
        "pass",
        "tests/test_path.py::TestStop::test_sigterm_under_load_loses_none",
    ),
    Mutation(
        "answers are handed over",
        "static_peers/entry_role.py",
        "taken = await self._follower.hand_over_responses(successors[0])",
        "taken = 0",
        _CLAIMS_FAULTS + "TestKilledBoxes::test_planned_stop_hands_answers_over",
    ),
    Mutation(
        "a wiped controller does not vote",
        "controllers/controller.py",
        'expected = self.controllers.get(box, "")',
        "return True",
        _CONTROLLERS_FAULTS + "TestLostDisks::test_second_loss_before_recovery",
    ),
    Mutation(
        "a plan's digest is checked",
        "controllers/state.py",
        "if plan.digest != command.digest:",
        "if False:",
        _CONTROLLERS_FAULTS + "TestOperators::test_race",
    ),
    Mutation(
        "command ids are remembered",
        "controllers/state.py",
        "if known is not None:",
        "if False:",
        _CONTROLLERS_FAULTS + "TestOperators::test_resent_through_another_box",
    ),
    Mutation(
        "strict majority",
        "controllers/members.py",
        "return len(table) // 2 + 1",
        "return len(table) // 2",
        _CONTROLLERS_FAULTS + "TestEvenHalves::test_two_and_two",
    ),
    Mutation(
        "log is read back",
        "controllers/log.py",
        "self._entries = list(recovered.entries)",
        "self._entries = []",
        _CONTROLLERS_FAULTS + "TestManyChanges::test_all_killed_after_500",
    ),
    Mutation(
        "record checksums",
        "controllers/records.py",
        "if xxhash.xxh3_64_intdigest(content) != checksum:",
        "if False:",
        "tests/test_storage.py::TestStorageMachine",
    ),
    Mutation(
        "messages expire",
        "peers/wire.py",
        "if age_ms > frame.ttl_ms:",
        "if False:",
        "tests/test_wire.py::TestLateMessages::test_expired_is_dropped",
    ),
    Mutation(
        "older lives are not heard",
        "peers/incarnations.py",
        "if known is not None and incarnation < known.incarnation:",
        "if False:",
        "tests/test_wire.py::TestLateMessages::test_older_life_is_dropped",
    ),
    Mutation(
        "strangers are not heard",
        "peers/wire.py",
        "if sender not in self._peers:",
        "if False:",
        "tests/test_wire.py::TestUnknownSenders::test_unknown_sender_is_counted",
    ),
    Mutation(
        "keys between boxes",
        "peers/curve.py",
        'is_known = key.decode("ascii") in self._keys',
        "is_known = True",
        "tests/test_wire.py::TestKeys",
    ),
    Mutation(
        "turns between customers",
        "static_peers/placement/shares.py",
        "self._deficits.move_to_end(customer)",
        "pass",
        "tests/test_placement.py::TestShares::test_flood_takes_no_more_than_its_share",
    ),
    Mutation(
        "leaving endpoints are heard of",
        "static_peers/endpoints/platform.py",
        'if one.state == "leaving"',
        "if False",
        _PLACEMENT_FAULTS + "TestLeavingEndpoints::test_by_platform_list",
    ),
    Mutation(
        "a drain is put into the plan",
        "controllers/plans.py",
        '"state": LEAVING',
        '"state": ACTIVE',
        _PLACEMENT_FAULTS + "TestLeavingEndpoints::test_by_confirmed_intent",
    ),
    Mutation(
        "overdue tasks eject an endpoint",
        "static_peers/placement/ejection.py",
        'self._eject(endpoint, "its tasks are overdue", now_ms)',
        "pass",
        _PLACEMENT_FAULTS + "TestFaultyEndpoints::test_frozen_endpoint",
    ),
    Mutation(
        "a lost lease manager is replaced",
        "static_peers/entry_role.py",
        "            if self._parts.membership.is_serving(box)\n        }",
        "        }",
        _PLACEMENT_FAULTS + "TestLostManager::test_another_takes_over",
    ),
    Mutation(
        "a delivered run is looked for after a new owner",
        "seed_discovery/owners/deliveries.py",
        "RunState.RECOVERING if order.is_resumed else RunState.QUEUED",
        "RunState.QUEUED",
        _OWNERS_STATE + "TestOwnerTakeover::test_nowhere_found_is_lost_only_after_the_lease",
    ),
    Mutation(
        "an earlier owner's lease is waited for",
        "seed_discovery/owners/recovery.py",
        "if now_ms >= bound.lost_at_ms:",
        "if True:",
        _OWNERS_DECISIONS + "TestRecovery::test_until_the_lease_has_lapsed",
    ),
    Mutation(
        "tombstones keep late copies out",
        "seed_discovery/owners/tombstones.py",
        "return 0 < delivery <= self.deliveries.get(holder, 0)",
        "return False",
        _OWNERS_STATE + "TestDuplicateDeliveries::test_a_late_copy_after_the_run_moved",
    ),
    Mutation(
        "a start is known until the deadline",
        "seed_discovery/owners/started_jobs.py",
        "deadline_ms + STARTED_JOB_GRACE_MS",
        "STARTED_JOB_GRACE_MS",
        _OWNERS_STATE + "TestGivingUp::test_a_start_is_known_until_the_deadline",
    ),
    Mutation(
        "an end that comes too late speaks for its whole job",
        "seed_discovery/owners/unattainable.py",
        "has_started = group.spec.job_id in lifecycle.started",
        "has_started = False",
        "tests/test_owners_renewed_session.py::TestBoxOfAnotherOwner",
    ),
    Mutation(
        "a bound task starts on its endpoint only",
        "seed_discovery/scheduling/placing.py",
        "endpoint = context.bound_endpoints.get(run.task)",
        "endpoint = None",
        "tests/test_owners_bound_tasks.py::TestPlacement",
    ),
    Mutation(
        "a bound task stays in its zone",
        "seed_discovery/owners/stealing.py",
        "if task not in bound_tasks]",
        "]",
        "tests/test_owners_bound_tasks.py::TestOtherZones",
    ),
    Mutation(
        "another id frees a bound task",
        "seed_discovery/owners/state.py",
        "self._unanswered_starts.discard_all(endpoint)",
        "pass",
        "tests/test_owners_bound_tasks.py::TestPlacement::test_another_id_in_place_of_a_birth",
    ),
    Mutation(
        "a new owner adopts the bindings that its box knows",
        "seed_discovery/owners/zone_owner.py",
        "            self._adopt_bindings(now_ms)\n",
        "",
        "tests/test_owners_changed_holders.py::TestNewOwner",
    ),
    Mutation(
        "a holder that joins is told of starts in flight",
        "seed_discovery/owners/order_sender.py",
        "if ordered.run_id.task.job_id == job_id:",
        "if False:",
        "tests/test_owners_changed_holders.py::TestJoinedHolder",
    ),
    Mutation(
        "a run that its endpoint lists frees its task",
        "seed_discovery/owners/state.py",
        "if self._is_running(active.run_id, report.endpoint):",
        "if False:",
        "tests/test_owners_changed_holders.py::TestNewOwner::test_running_task",
    ),
    Mutation(
        "a slow endpoint is eligible again at its late answer",
        "seed_discovery/owners/zone_owner.py",
        "if not self._is_closed and self._state.note_responding(endpoint):",
        "if False:",
        "tests/test_owners_slow_endpoints.py",
    ),
    Mutation(
        "a start is sent only to an endpoint that responds",
        "seed_discovery/owners/order_sender.py",
        "not await link.is_responding()",
        "False",
        "tests/test_owners_silent_start.py",
    ),
    Mutation(
        "a report from before a failed check does not count",
        "seed_discovery/scheduling/endpoints.py",
        "if polled_ms >= self.unresponsive_at_ms:",
        "if True:",
        "tests/test_owners_silent_start.py::TestUnresponsiveEndpoint",
    ),
    Mutation(
        "boxes know of start orders in flight",
        "seed_discovery/owners/order_sender.py",
        "self._notify_holders(ordered)\n        self._in_flight",
        "self._in_flight",
        "tests/test_owners_inflight_starts.py::TestOrderInFlight::test_killed_owner",
    ),
    Mutation(
        "the likely next owner knows of starts of the owner's box",
        "seed_discovery/owners/order_sender.py",
        "self._sessions.queue_owner_start(self._successor, notice)",
        "pass",
        "tests/test_owners_inflight_starts.py::TestOrderInFlight::test_killed_owner_with_the_job",
    ),
    Mutation(
        "a box keeps the starts of runs that it has cancelled",
        "seed_discovery/owners/connection.py",
        "for start in (start for batch in batches for start in batch.starts_in_flight):",
        "for start in ():",
        "tests/test_owners_inflight_starts.py::TestLeftCaller::test_submitted_again",
    ),
    Mutation(
        "an answered cancel removes only earlier starts",
        "seed_discovery/owners/starts_in_flight.py",
        "if run_id.task.job_id != job_id or start.noted_ms > until_ms",
        "if run_id.task.job_id != job_id",
        "tests/test_owners_earlier_cancels.py::TestLateCancelAnswer",
    ),
    Mutation(
        "a late notice of an earlier owner's start binds its task",
        "seed_discovery/owners/connection.py",
        "            self._note_late_start(start, token)\n",
        "            pass\n",
        "tests/test_owners_late_notices.py::TestLateNotice",
    ),
    Mutation(
        "a lifted binding does not hide a later owner's",
        "seed_discovery/owners/task_histories.py",
        "return lifted is not None and token <= lifted.token",
        "return lifted is not None",
        "tests/test_owners_task_histories.py::TestBindings::test_same_attempt_of_a_later_owner",
    ),
    Mutation(
        "a lifted binding is forgotten before its attempt is used again",
        "seed_discovery/owners/task_histories.py",
        "_LIFTED_TTL_MS = 4_000.0",
        "_LIFTED_TTL_MS = 12_000.0",
        "tests/test_owners_earlier_cancels.py::TestCancelledInTheSameZone::test_killed_owner",
    ),
    Mutation(
        "a cancelled start is reported",
        "seed_discovery/owners/lifecycle.py",
        "self.unanswered_starts.add(run.run_id, run.endpoint, now_ms)",
        "pass",
        "tests/test_owners_inflight_starts.py::TestOrderInFlight"
        "::test_submitted_again_in_the_other_zone",
    ),
    Mutation(
        "bindings are reported to the boxes",
        "seed_discovery/owners/unanswered_starts.py",
        "self._actions.report(EndpointBinding(stop.run_id, stop.endpoint))",
        "pass",
        "tests/test_owners_bound_failover.py",
    ),
    Mutation(
        "a box whose session begins receives the earlier reports",
        "seed_discovery/owners/zone_owner.py",
        "self._sessions.queue_report(holder, report)",
        "pass",
        "tests/test_owners_bound_failover.py",
    ),
    Mutation(
        "crash counts are reported to the boxes",
        "seed_discovery/owners/crashed_endpoints.py",
        "lifecycle.report_crashes(task)",
        "pass",
        "tests/test_owners_crash_failover.py",
    ),
    Mutation(
        "the number of retained responses is limited",
        "static_peers/entry/jobs.py",
        "len(self._retained_sizes) > self._jobs_max or ",
        "",
        "tests/test_entry_jobs.py",
    ),
    Mutation(
        "a start without an answer is stopped",
        "seed_discovery/owners/orders.py",
        "lifecycle.stop(run, now_ms)",
        "lifecycle.queue(run, now_ms)",
        _OWNERS_STATE + "TestEnds::test_unanswered_start",
    ),
    Mutation(
        "a report from before an order says nothing of it",
        "seed_discovery/owners/reports.py",
        "if max(run.since_ms, run.stop_confirmed_ms) >= polled_ms:",
        "if False:",
        _OWNERS_DECISIONS + "TestClassifyAbsence::test_running_is_lost",
    ),
    Mutation(
        "a stop is confirmed before the next start",
        "seed_discovery/owners/reports.py",
        "if run.state is RunState.STOPPING and run.stop_confirmed_ms:",
        "if run.state is RunState.STOPPING:",
        _OWNERS_DECISIONS + "TestClassifyAbsence::test_stopping_waits_for_the_stop",
    ),
    Mutation(
        "no work beside orphaned runs",
        "seed_discovery/scheduling/endpoints.py",
        "            and not self.orphans\n",
        "",
        _OWNERS_STATE + "TestOwnerTakeover::test_unclaimed_run_is_stopped",
    ),
    Mutation(
        "an isolated owner waits",
        "seed_discovery/owners/zone_owner.py",
        "return not self._sessions.has_session_with_other_box(own, monotonic_ms())",
        "return False",
        "tests/test_owners_zone_owner.py::TestIsolation::test_own_grant_does_not_count",
    ),
    Mutation(
        "a lapsed session is announced",
        "seed_discovery/owners/sessions.py",
        "is_renewed_session = holder in self._expired",
        "is_renewed_session = False",
        "tests/test_owners_sessions.py::TestLapsedSessions::test_announced_before_any_end",
    ),
    Mutation(
        "a box that reaches nobody does not claim",
        "seed_discovery/owners/election.py",
        "if witnesses.asked and not witnesses.answered:",
        "if False:",
        "tests/test_owners_election.py::TestMayAcquire::test_isolated",
    ),
    Mutation(
        "a claim waits for who still knows the owner",
        "seed_discovery/owners/election.py",
        "return newest_heartbeat_age_ms is None or newest_heartbeat_age_ms >= silent_ms",
        "return True",
        "tests/test_owners_election.py::TestMayAcquire::test_somebody_hears_the_owner",
    ),
    Mutation(
        "tokens rise",
        "seed_discovery/owners/election.py",
        "max((highest_known >> _BOX_BITS) + 1,",
        "max(0,",
        "tests/test_owners_election.py::TestTokens::test_above_what_is_known",
    ),
    Mutation(
        "the longest lease ordered counts",
        "seed_discovery/owners/lease.py",
        "self._until_ms = max(self._until_ms, until_ms)",
        "self._until_ms = until_ms",
        "tests/test_owners_lease.py::TestEndpointClock::test_remembers_the_longest_lease",
    ),
    Mutation(
        "a job that ran at a silent owner is remembered",
        "seed_discovery/owners/connection.py",
        "if batch.has_started or batch.tokens:",
        "if batch.tokens:",
        _OWNERS_CLIENT + "TestGivingUp::test_done_at_an_owner_that_fell_silent_afterwards",
    ),
    Mutation(
        "a new owner's word covers its own term only",
        "seed_discovery/owners/withdrawal.py",
        "has_started=has_started or bool(tokens - {owner.token})",
        "has_started=has_started",
        _OWNERS_CLIENT + "TestGivingUp::test_a_new_owner_knows_nothing_of_the_one_before",
    ),
    Mutation(
        "a cancel without a reply is no proof",
        "seed_discovery/owners/withdrawal.py",
        "any(answer is not CancelAnswer.NOT_STARTED",
        "any(answer is CancelAnswer.STARTED",
        _OWNERS_CLIENT + "TestGivingUp::test_no_answer",
    ),
    Mutation(
        "another term can't say that nothing started",
        "seed_discovery/owners/zone_owner.py",
        "is_addressed = message.token in (0, self.token)",
        "is_addressed = True",
        _OWNERS_CLIENT + "TestGivingUp::test_answered_by_a_later_term",
    ),
    Mutation(
        "a heartbeat revives no grant that has lapsed",
        "seed_discovery/owners/connection.py",
        "        self._end_expired_grant(now_ms)\n        is_new",
        "        is_new",
        _OWNERS_CLIENT + "TestGivingUp::test_a_heartbeat_is_handled_before_the_loss",
    ),
    Mutation(
        "an answer after the grant has lapsed says nothing",
        "seed_discovery/owners/cancels.py",
        "if connection.is_granted(owner, withdrawal.grant):",
        "if not reply.has_started:",
        _OWNERS_CLIENT + "TestGivingUp::test_a_right_that_lapses_while_the_owner_is_asked",
    ),
    Mutation(
        "a start is known until the last box's deadline",
        "seed_discovery/owners/deliveries.py",
        "self._lifecycle.started.note_delivered(message.job_id, spec.deadline_ms)",
        "pass",
        _OWNERS_STATE + "TestGivingUp::test_a_start_is_known_to_a_box_that_asks_later",
    ),
    Mutation(
        "a late box believes no word of its owner",
        "seed_discovery/owners/cancels.py",
        "if monotonic_ms() >= withdrawal.reply_valid_until_ms:",
        "if reply.has_started:",
        "tests/test_owners_late_replies.py::TestLateCancel::test_two_pauses_with_a_heartbeat_between",
    ),
    Mutation(
        "nor an end that it handles late",
        "seed_discovery/owners/batches.py",
        "is_reply_valid = monotonic_ms() < self.reply_valid_until_ms and not run.tokens - {token}",
        "is_reply_valid = not run.tokens - {token}",
        _OWNERS_CLIENT + "TestGivingUp::test_an_end_that_is_handled_too_late",
    ),
    Mutation(
        "a cancel that comes later takes back nothing of a newer one",
        "seed_discovery/owners/deliveries.py",
        "cancel.joined(known)",
        "cancel",
        "tests/test_owners_late_replies.py::TestCancelled::test_an_older_cancel_arrives_later",
    ),
    Mutation(
        "deliveries of two lives have other numbers",
        "seed_discovery/owners/client.py",
        "itertools.count(1 + secrets.randbits(_DELIVERY_BITS))",
        "itertools.count(1)",
        _OWNERS_CLIENT + "TestEnds::test_meant_for_the_life_before",
    ),
    Mutation(
        "requests of two lives have other numbers",
        "peers/wire.py",
        "self._next_id = secrets.randbits(_REQUEST_ID_BITS)",
        "self._next_id = 0",
        "tests/test_owners_late_replies.py::TestReplies::test_a_reply_to_an_earlier_life",
    ),
    Mutation(
        "a lost run is sent no more",
        "seed_discovery/owners/connection.py",
        "when it is back.\n            batch.clear()",
        "when it is back.\n            continue",
        _OWNERS_CLIENT + "TestLostOwner::test_a_lost_run_is_delivered_no_more",
    ),
    Mutation(
        "no delivery to another zone while a cancelled run may remain in the own one",
        "seed_discovery/owners/cancels.py",
        "return all(remaining == zone == self._home_zone for remaining in zones)",
        "return all(remaining == self._home_zone for remaining in zones)",
        "tests/test_owners_resubmission.py::TestHomeZoneWithoutCapacity::test_submitted_again",
    ),
    Mutation(
        "a later cancel does not end the wait for the runs of an earlier one",
        "seed_discovery/owners/cancels.py",
        "if not zones:\n            del",
        "if zone:\n            del",
        _OWNERS_CLIENT + "TestSameIdAgain::test_cancelled_twice_in_the_own_zone",
    ),
    Mutation(
        "a cancel reaches no later delivery",
        "seed_discovery/owners/deliveries.py",
        "return not self.delivery or delivery <= self.delivery",
        "return True",
        _OWNERS_STATE + "TestSameIdAgain",
    ),
    Mutation(
        "a full disk is opened again",
        "controllers/controller.py",
        "await self._reopen()",
        "pass",
        "tests/test_boxes_controllers.py::TestFullDisk",
    ),
    Mutation(
        "a cancelled request ends",
        "peers/wire.py",
        "async with SuspendAwareTimeout(timeout_ms):\n                return await future",
        "return await asyncio.wait_for(future, timeout_ms / 1_000)",
        "tests/test_wire.py::TestCancelledRequests",
    ),
    Mutation(
        "a stopped task's next run goes on for longer",
        "seed_discovery/owners/stragglers.py",
        "return ran_ms > max(run_time_limit_ms, STUCK_RETRY_FACTOR * stuck_attempt_ms)",
        "return ran_ms > run_time_limit_ms",
        _OWNERS_STATE + "TestStragglers::test_longer_than_anybody_expected",
    ),
    Mutation(
        "a caller's guess counts before a run is stuck",
        "seed_discovery/scheduling/groups.py",
        "return max(self.longest_ms, float(self.spec.estimate_ms))",
        "return self.longest_ms",
        _OWNERS_STATE + "TestStragglers::test_a_long_task_among_short_ones",
    ),
    Mutation(
        "starts on their way to a draining endpoint are waited for",
        "seed_discovery/owners/zone_owner.py",
        "await self._orders.wait_for_starts(endpoints)",
        "pass",
        "tests/test_owners_zone_owner.py::TestDraining",
    ),
    Mutation(
        "an election ends with a majority",
        "controllers/election.py",
        "if votes >= self._controller.quorum_size:\n                return True",
        "pass",
        "tests/test_controllers_election.py::TestUnreachableVoter::test_a_majority_is_enough",
    ),
    Mutation(
        "a confirm waits for its version",
        "static_peers/entry/operators.py",
        "await self._wait_until_in_effect(result.ok.version)",
        "pass",
        "tests/test_entry_operators.py::TestConfirm::test_version_in_force_after_confirm",
    ),
    Mutation(
        "reports go by the life",
        "seed_discovery/endpoints/records.py",
        "    if record.born_ms > known.born_ms:\n        return ReportVerdict.NEXT_LIFE\n"
        "    if record.born_ms < known.born_ms:",
        "    if False:",
        "tests/test_endpoints_catalog.py::TestLives::test_ready_again",
    ),
    Mutation(
        "an earlier life's reports are dropped",
        "seed_discovery/endpoints/records.py",
        "    if record.born_ms < known.born_ms:",
        "    if False:",
        "tests/test_endpoints_catalog.py::TestLives::test_whoever_told_it_last",
    ),
    Mutation(
        "a farewell is of a life that leaves",
        "seed_discovery/endpoints/records.py",
        "return not known.born_ms or known.state is EndpointState.DRAINING",
        "return True",
        "tests/test_endpoints_catalog.py::TestLives::test_delayed_deregistration",
    ),
    Mutation(
        "answers tell lives apart",
        "seed_discovery/owners/endpoint_link.py",
        "if not answer_born_ms or answer_born_ms == born_ms:",
        "if True:",
        _ENDPOINT_LINK + "TestNextIncarnation::test_its_answer_comes_first",
    ),
    Mutation(
        "no end is acknowledged after a broken poll",
        "seed_discovery/owners/endpoint_link.py",
        "self._last_sequence if self._last_poll_succeeded else 0",
        "self._last_sequence",
        _ENDPOINT_LINK + "TestOtherLife::test_ends_are_kept_for_whoever_answers_next",
    ),
    Mutation(
        "leases meant for the life before",
        "seed_discovery/owners/endpoint_link.py",
        "if now_ms < self._stale_orders_until_ms + longest_real_ms + LAPSE_MARGIN_MS:",
        "if False:",
        _ENDPOINT_LINK + "TestOtherLife::test_orders_for_the_life_before",
    ),
    Mutation(
        "an unanswered start renews the next incarnation's lease",
        "seed_discovery/owners/endpoint_links.py",
        "max(link.orders_until_ms, starts_until_ms)",
        "link.orders_until_ms",
        "tests/test_owners_late_renewals.py::TestLateStart",
    ),
    Mutation(
        "so does one in flight when its link is replaced",
        "seed_discovery/owners/order_sender.py",
        "            self._note_stale_start(link, now_ms)\n",
        "            pass\n",
        "tests/test_owners_late_renewals.py::TestLateStart",
    ),
    Mutation(
        "a silent endpoint's lease is not renewed",
        "seed_discovery/owners/endpoint_link.py",
        "renews = not self._is_silent and ",
        "renews = ",
        _ENDPOINT_LINK + "TestSilentEndpoint::test_its_lease_lapses",
    ),
    Mutation(
        "a next life's report ends what the one before ran",
        "seed_discovery/owners/state.py",
        "        candidate.begin_incarnation()\n",
        "        self.handle_lease_expiry(endpoint, now_ms)\n"
        "        candidate.begin_incarnation()\n",
        _OWNERS_STATE + "TestNextIncarnation::test_an_order_that_reached_it",
    ),
    Mutation(
        "unanswered orders are stopped in the next life",
        "seed_discovery/owners/state.py",
        "        for stop in self._unanswered_starts.stops_due((endpoint,), now_ms, now_ms):",
        "        for stop in ():",
        _OWNERS_STATE + "TestNextIncarnation::test_an_order_that_got_no_answer",
    ),
    Mutation(
        "a next life is told until it answers",
        "seed_discovery/owners/state.py",
        "        stops += self._unanswered_starts.stops_due(answering, before_ms, now_ms)\n",
        "",
        _OWNERS_STATE + "TestNextIncarnation::test_it_is_told_until_it_answers",
    ),
    Mutation(
        "late orders outlive the endpoint that left",
        "seed_discovery/owners/state.py",
        """        self.handle_lease_expiry(endpoint, now_ms)
        self._unanswered_starts.end_incarnation(endpoint)
""",
        """        self.handle_lease_expiry(endpoint, now_ms)
""",
        _OWNERS_STATE + "TestNextIncarnation::test_one_that_follows_a_leave",
    ),
    Mutation(
        "a box that has forgotten an endpoint asks for all",
        "seed_discovery/fleet/joiner.py",
        "            if self._catalog.eviction_count != eviction_count:",
        "            if False:",
        "tests/test_fleet_joiner.py::TestEvictedEndpoint::test_restored_by_next_join",
    ),
    Mutation(
        "a handler that has not begun is closed",
        "peers/wire.py",
        "            task.add_done_callback(lambda _task: reply.close())\n",
        "",
        "tests/test_wire.py::TestStop",
    ),
    Mutation(
        "reports of unnamed services are refused",
        "seed_discovery/fleet/registry.py",
        "return services is None or record.service in services",
        "return True",
        "tests/test_fleet_registry.py::TestServices::test_unknown_service",
    ),
    Mutation(
        "a controller that has lost its configuration takes no reports",
        "seed_discovery/controller_box.py",
        "return None if self._is_first_start else frozenset()",
        "return None",
        "tests/test_controller_box.py::TestReports",
    ),
    Mutation(
        "a recovered log is synced",
        "controllers/storage.py",
        "            os.ftruncate(self._fd, valid_bytes)\n            self._fsync(self._fd)\n",
        "            os.ftruncate(self._fd, valid_bytes)\n",
        "tests/test_storage.py::TestStorageMachine",
    ),
    Mutation(
        "no work before a life's own record",
        "seed_discovery/scheduling/endpoints.py",
        "return not self.record.born_ms or self.record.born_ms >= born_ms",
        "return True",
        _OWNERS_STATE + "TestNextIncarnation::test_nothing_learned_of_the_life_before",
    ),
    Mutation(
        "a farewell ends no run of a life that answers",
        "seed_discovery/owners/endpoint_links.py",
        "return self._links[endpoint].is_over or (candidate.is_idle and candidate.has_reported)",
        "return True",
        "tests/test_owners_endpoint_link.py::TestFarewell::test_of_the_life_before",
    ),
    Mutation(
        "a controller waits for its cached configuration",
        "seed_discovery/controller_box.py",
        "await self._holder.close()",
        "pass",
        "tests/test_controller_box.py::TestEnd::test_nothing_is_written_afterwards",
    ),
    Mutation(
        "a controller waits for the write of its log",
        "controllers/controller.py",
        """        await self._tasks.stop()
        try:
            async with SuspendAwareTimeout(_CLOSE_TIMEOUT_MS):
                await self.log.aclose()""",
        """        await self._tasks.stop()
        try:
            async with SuspendAwareTimeout(_CLOSE_TIMEOUT_MS):
                self._storage.close()""",
        "tests/test_controller_box.py::TestEnd::test_no_snapshot_is_written_afterwards",
    ),
    Mutation(
        "the clock of decisions counts a suspension",
        "clock.py",
        "if _HAS_BOOT_CLOCK:",
        "if False:",
        "tests/test_clock.py",
    ),
    Mutation(
        "limits of time are set anew after a suspension",
        "time_limits.py",
        "if not timeout.expired():",
        "if False:",
        "tests/test_time_limits.py",
    ),
    Mutation(
        "a reply bounds the age of its sender's messages",
        "peers/incarnations.py",
        "if min_offset_ms > known.min_offset_at(now_ms):",
        "if False:",
        "tests/test_peers_incarnations.py::TestSendersClock",
    ),
    Mutation(
        "a task that crashes its endpoints is given up",
        "seed_discovery/scheduling/crashes.py",
        "if count.alone and count.crashes >= _SOLE_TASK_CRASHES_MAX:",
        "if False:",
        _CRASHED_ENDPOINTS + "TestGivenUp::test_ends_before_leases_expire",
    ),
    Mutation(
        "a task whose endpoint crashed starts by itself",
        "seed_discovery/scheduling/placing.py",
        "candidate.is_idle if needs_isolation else not context.isolation_on(candidate)",
        "True",
        _CRASHED_ENDPOINTS + "TestIsolationAfterCrash::test_each_starts_isolated",
    ),
    Mutation(
        "a lapse in silence is no crash",
        "seed_discovery/owners/state.py",
        "        candidate.mark_alive()\n",
        "        candidate.has_crashed = False\n",
        _CRASHED_ENDPOINTS + "TestCrashCounting::test_expired_leases_are_no_crash",
    ),
    Mutation(
        "overdue endpoints are waited for",
        "seed_discovery/scheduling/admission.py",
        "if not available.total_milli and available.overdue_milli:",
        "if False:",
        "tests/test_owners_admission.py",
    ),
    Mutation(
        "a round ends if no task fits",
        "seed_discovery/scheduling/placing.py",
        "if order.smallest_cpu_milli > max(free_cpu_milli.values(), default=-1):",
        "if False:",
        f"{_QUEUE_COST}TestQueueCost",
    ),
    Mutation(
        "tries in a round are limited",
        "seed_discovery/scheduling/placing.py",
        "self._tries_left -= 1",
        "pass",
        f"{_QUEUE_COST}TestQueueCost",
    ),
    Mutation(
        "a group is ranked again when its tier's deadline passes",
        "seed_discovery/scheduling/serving_order.py",
        "self._expiries[0].at_ms < now_ms",
        "False",
        "tests/test_scheduling_serving_order.py",
    ),
    Mutation(
        "a group is ranked again when a task has ended",
        "seed_discovery/scheduling/serving_order.py",
        "        if group in self._ranked:\n            self._remove(group)\n",
        "        if False:\n            self._remove(group)\n",
        "tests/test_scheduling_serving_order.py",
    ),
    Mutation(
        "a run counts until the poll that lists it",
        "seed_discovery/owners/stragglers.py",
        "listed_ms = last_polled_ms.get(run.endpoint, 0.0) - run.began_ms",
        "listed_ms = ran_ms",
        f"{_SILENT_SPEEDS}TestSilentEndpoint",
    ),
    Mutation(
        "a run over a silence does not count",
        "seed_discovery/owners/lifecycle.py",
        "and ran_ms and self._was_heard(run):",
        "and ran_ms:",
        f"{_SILENT_SPEEDS}TestDurationEstimates",
    ),
    Mutation(
        "estimates of speeds age",
        "seed_discovery/scheduling/speeds.py",
        "> _EVIDENCE_TTL_MS:",
        "> math.inf:",
        f"{_SILENT_SPEEDS}TestSlowEndpoint",
    ),
    Mutation(
        "a late owner rejects new jobs",
        "seed_discovery/owners/state.py",
        "if rejection is not None:",
        "if False:",
        f"{_OVERLOAD}TestLateOwner::test_new_job",
    ),
    Mutation(
        "a late owner takes jobs under way",
        "seed_discovery/owners/admission.py",
        "if not _is_first_delivery(message) or message.orders[0].step:",
        "if message.orders[0].step:",
        f"{_OVERLOAD}TestLateOwner::test_job_that_is_under_way",
    ),
    Mutation(
        "a response that breaks off is not whole",
        "http_pool.py",
        "if exc is None and self._has_headers and not self._has_length:",
        "if exc is None and not self._has_length:",
        "tests/test_http_pool.py::TestFailures",
    ),
    Mutation(
        "a connection is not used after a timeout",
        "http_pool.py",
        "                connection.close()\n                raise\n",
        "                self._keep(connection)\n                raise\n",
        "tests/test_http_pool.py::TestFailures",
    ),
]


def run_one(mutation: Mutation) -> dict[str, object]:
    """Apply *mutation* to a scratch copy, run its test there, and return the result."""
    copy_dir = Path(tempfile.mkdtemp(prefix="foldloom-broken-"))
    try:
        for name in ("src", "tests", "examples"):
            shutil.copytree(
                _ROOT / name, copy_dir / name, ignore=shutil.ignore_patterns("*.egg-info")
            )
        shutil.copy(_ROOT / "pyproject.toml", copy_dir)
        path = copy_dir / "src" / "foldloom" / mutation.file
        text = path.read_text(encoding="utf-8")
        if mutation.old not in text:
            return {**mutation._asdict(), "result": "text not found"}
        path.write_text(text.replace(mutation.old, mutation.new), encoding="utf-8")
        environment = {**os.environ, "PYTHONPATH": str(copy_dir / "src")}
        # One process: with several, a run stopped by -x exits with 2, like a usage error.
        options = ["-x", "-n", "0", "-p", "no:cacheprovider"]
        command = [sys.executable, "-m", "pytest", *options, mutation.test]
        completed = subprocess.run(
            command,
            cwd=copy_dir,
            env=environment,
            capture_output=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        lines = completed.stdout.decode("utf-8", "replace").splitlines()
        failure = next((line for line in lines if line.startswith("E  ")), "")
        result = {0: "passed", 1: "failed"}.get(
            completed.returncode, f"exit {completed.returncode}"
        )
        return {**mutation._asdict(), "result": result, "why": failure[1:].strip()[:160]}
    except subprocess.TimeoutExpired:
        return {**mutation._asdict(), "result": f"no end within {_TIMEOUT_S} s", "why": ""}
    finally:
        shutil.rmtree(copy_dir, ignore_errors=True)


def main() -> None:
    """Run the mutations named on the command line, or all, and write the results."""
    selected = [
        mutation for mutation in MUTATIONS if not sys.argv[1:] or mutation.name in sys.argv[1:]
    ]
    previous_results = (
        json.loads(_RESULTS.read_text()) if _RESULTS.exists() and sys.argv[1:] else []
    )
    results = {mutation["name"]: mutation for mutation in previous_results}
    with ThreadPoolExecutor(_PARALLEL_RUNS) as pool:
        for result in pool.map(run_one, selected):
            results[str(result["name"])] = result
            print(f"{result['result']:>10}  {result['name']}  {result.get('why', '')}", flush=True)
    ordered = [results[mutation.name] for mutation in MUTATIONS if mutation.name in results]
    _RESULTS.write_text(json.dumps(ordered, indent=1) + "\n", encoding="utf-8")
    write_table(ordered)


def write_table(results: list[dict[str, object]]) -> None:
    """Write the table into docs/proofs.md."""
    page = _ROOT / "docs" / "proofs.md"
    begin, end = "<!-- broken: begin; written by benchmarks/broken.py -->", "<!-- broken: end -->"
    text = page.read_text(encoding="utf-8")
    lines = ["| taken out | test | result with it taken out | how it fails |", "|---|---|---|---|"]
    for result in results:
        test = str(result["test"]).removeprefix("tests/")
        failure = str(result.get("why", "")).replace("|", "\\|")
        lines.append(f"| {result['name']} | `{test}` | {result['result']} | {failure} |")
    before, after = text.partition(begin)[0], text.partition(end)[2]
    page.write_text(
        f"{before}{begin}\n\n" + "\n".join(lines) + f"\n\n{end}{after}", encoding="utf-8"
    )


if __name__ == "__main__":
    main()
