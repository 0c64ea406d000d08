"""Tests for the outcomes of attempts and their reports."""

import random

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import resume_token
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulley_core import targets

TARGETS = {"a": "v1", "b": "v1", "c": "v2"}
TICK_S = 0.05


def make_core(weights=None):
    specs = {
        name: tables.TargetSpec(name, "http://127.0.0.1:1", "n", version)
        for name, version in TARGETS.items()
    }
    versions = {
        name: tables.VersionSpec(name, weight)
        for name, weight in (weights or {"v1": 1.0, "v2": 0.0}).items()
    }
    pool = tables.Pool("pool", tables.TargetKind.ENGINE, versions, specs)
    table = targets.TargetTable("n")
    table.apply_pools(tables.PoolTable(1, {"pool": pool}), 0.0)
    rng = random.Random(1)
    return generations.GenerationCore(
        target_table=table,
        chooser=targets.LeastOutstandingChooser(table, rng),
        signer=resume_token.Signer([b"k" * 16]),
        suspect_table=suspects.SuspectTable(),
        rng=rng,
    )


def submit_request(core, now_s=0.0):
    request = generations.GenerationRequest(
        generation_id="0" * 32,
        account="account",
        route="route",
        pool="pool",
        model="model",
        fingerprint="f",
        prompt="prompt",
        sampling=generations.Sampling(100, 1, 0.0),
        priority=0,
        deadline_s=600.0,
    )
    return core.handle(generations.CallerConnected(1, request), now_s)


def actions_of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def fail_attempt(core, start, reason, now_s):
    event = generations.AttemptFailed(
        start.generation_id, start.attempt, reason, "message"
    )
    return core.handle(event, now_s)


def retry_after_error(core, start):
    """Fails an attempt with an error and returns its only retry."""
    actions = fail_attempt(core, start, generations.FailureReason.ERRORED, 0.1)
    for tick in range(1, 100):
        if actions_of_type(actions, generations.StartAttempt):
            break
        actions = core.tick(0.1 + tick * TICK_S)
    (retry,) = actions_of_type(actions, generations.StartAttempt)
    return retry


def receive_token(core, start, index, now_s):
    event = generations.TokensReceived(
        start.generation_id, start.attempt, index, ("t",), start.version
    )
    return core.handle(event, now_s)


def test_finished_attempt_reports_its_latencies():
    core = make_core()
    (start,) = actions_of_type(submit_request(core), generations.StartAttempt)
    receive_token(core, start, 0, 0.5)
    receive_token(core, start, 1, 0.6)
    receive_token(core, start, 2, 0.7)
    finished = generations.AttemptFinished(
        start.generation_id, start.attempt, 3, "stop", "v1"
    )
    (ended,) = actions_of_type(
        core.handle(finished, 0.8), generations.AttemptOutcome
    )
    assert ended.result is generations.AttemptResult.OK
    assert ended.first_token_s == 0.5
    assert abs(ended.token_interval_s - 0.1) < 1e-9


def test_errors_on_all_targets_end_the_request_as_unknown():
    # Guards against retrying a request on all targets until its deadline, and
    # against a wrong not_run: the targets may have worked on the request.
    core = make_core()
    actions = submit_request(core)
    now_s = 0.0
    failures = []
    for _ in range(1_000):
        for start in actions_of_type(actions, generations.StartAttempt):
            actions = fail_attempt(
                core, start, generations.FailureReason.ERRORED, now_s
            )
            break
        else:
            now_s += TICK_S
            actions = core.tick(now_s)
        failures += actions_of_type(actions, generations.FailAnswer)
        if failures:
            break
    assert failures[0].code is results.ResultCode.TARGET_ERROR
    assert failures[0].run_state is results.RunState.UNKNOWN


def test_error_before_the_first_token_tries_another_version():
    # Guards against a bad version that fails a request on all its targets.
    core = make_core({"v1": 1.0, "v2": 1e-9})
    (start,) = actions_of_type(submit_request(core), generations.StartAttempt)
    assert start.version == "v1"
    assert retry_after_error(core, start).version == "v2"


def test_error_at_full_share_is_retried_on_the_replaced_version():
    # Guards against a request that fails on every target of a bad version,
    # after a version move that saw no traffic before its share reached 100 %.
    core = make_core({"v1": 1.0, "v2": 0.0})
    core._ctx.targets.set_retry_version("pool", "v2")
    (start,) = actions_of_type(submit_request(core), generations.StartAttempt)
    assert start.version == "v1"
    assert retry_after_error(core, start).version == "v2"


def test_refused_request_is_not_retried_on_the_replaced_version():
    # Guards the finish-by date of a version move: only a request that failed
    # with an error may use the replaced version.
    core = make_core({"v1": 1.0, "v2": 0.0})
    core._ctx.targets.set_retry_version("pool", "v2")
    actions = submit_request(core)
    versions = []
    for tick in range(1, 100):
        for start in actions_of_type(actions, generations.StartAttempt):
            versions.append(start.version)
            fail_attempt(core, start, generations.FailureReason.REFUSED, 0.0)
        actions = core.tick(0.1 + tick * TICK_S)
    assert set(versions) == {"v1"}


def test_reset_after_the_start_request_is_not_reported_as_not_run():
    # Guards against not_run for a request that the target had received.
    core = make_core({"v1": 1.0, "v2": 0.0})
    (start,) = actions_of_type(submit_request(core), generations.StartAttempt)
    actions = fail_attempt(core, start, generations.FailureReason.RESET, 0.1)
    (probe,) = actions_of_type(actions, generations.ProbeTarget)
    actions = core.handle(
        generations.ProbeFailed(probe.target, probe.probe_id, True), 0.1
    )
    ended = actions_of_type(actions, generations.AttemptOutcome)
    assert [outcome.result for outcome in ended] == [
        generations.AttemptResult.CRASH
    ]
    failures = []
    for tick in range(1, 20_000):
        failures += actions_of_type(
            core.tick(0.1 + tick * TICK_S), generations.FailAnswer
        )
    assert [outcome.run_state for outcome in failures] == [
        results.RunState.UNKNOWN
    ]


def test_stuck_stream_moves_to_another_target():
    # Guards against an engine that responds to probes but hangs on one stream.
    core = make_core()
    (start,) = actions_of_type(submit_request(core), generations.StartAttempt)
    for index in range(20):
        receive_token(core, start, index, 0.03 * (index + 1))
    now_s = 0.6
    for _ in range(1_000):
        now_s += TICK_S
        actions = core.tick(now_s)
        for probe in actions_of_type(actions, generations.ProbeTarget):
            progress = {start.generation_id: 20}
            actions += core.handle(
                generations.ProbeSucceeded(
                    probe.target, probe.probe_id, "boot", False, progress
                ),
                now_s,
            )
        for attach in actions_of_type(actions, generations.AttachAttempt):
            accepted = generations.AttemptAccepted(
                attach.generation_id, attach.attempt, "boot"
            )
            core.handle(accepted, now_s)
        moved = actions_of_type(actions, generations.StartAttempt)
        if moved:
            break
    assert moved[0].target != start.target
    assert len(moved[0].resume_tokens) == 20
    assert now_s < 20.0
