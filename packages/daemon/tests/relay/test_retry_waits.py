"""What a wait for a retry, and a retry that was taken, does to others."""

import dataclasses
import errno
import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import engine_selection
from rattanpulleyd._internal.relay import plain_relay
from rattanpulleyd._internal.relay import stream_channel
from rattanpulleyd._internal.relay import stream_departures
from rattanpulleyd._internal.relay import stream_plan
from rattanpulleyd._internal.relay import stream_relay
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_prober

STARTED_S = 100.0
WINDOW_S = 10.0
ROUTE = relay_builders.route(
    serving.RouteKind.STREAM, resumable=True, timeout_s=60.0
)
ENGINE = dataclasses.replace(relay_builders.target("t"), started_ms=1)


@pytest.fixture
def now(monkeypatch) -> list[float]:
    """Returns the time of the relay, which pauses advance."""
    values = [STARTED_S]

    def _pause(for_s: float) -> None:
        values[0] += for_s

    monkeypatch.setattr(clock, "now_s", lambda: values[0])
    monkeypatch.setattr(clock, "suspend_aware_now_s", lambda: values[0])
    monkeypatch.setattr(target_connection, "pause", _pause)
    return values


@pytest.fixture
def context(now):
    """State of a host that may retry once in ten seconds."""
    context = relay_builders.make_context("a")
    context.retry_budget = serving.PoolRetryBudget(WINDOW_S, 0.0, 1.0)
    context.trials = types.SimpleNamespace(
        admit_request=lambda *_: False, record_answer=lambda *_: None
    )
    context.prober = types.SimpleNamespace(
        recent_counts=dict, probe=lambda *_: None
    )
    context.placement = types.SimpleNamespace(
        shortlist=lambda *_: [],
        choose=lambda *_: ENGINE,
        shortage=lambda *_: serving.Shortage(),
    )
    relay_builders.accept_routes(context, 1, ROUTE)
    return context


def _attempts(context) -> attempts_lib.RequestAttempts:
    admission = relay_builders.admission(ROUTE, clock.now_s())
    return attempts_lib.RequestAttempts(context, admission, 12)


def _begun(context) -> attempts_lib.RequestAttempts:
    attempts = _attempts(context)
    attempts.answer_started = True
    error = target_connection.AttemptError(
        serving.FailureKind.UNRESPONSIVE, "reason"
    )
    progress = attempt_progress.AttemptProgress(clock.now_s())
    attempts.record(ENGINE, error, progress)
    return attempts


def _relay(context, on_attempt) -> stream_relay.StreamRelay:
    """Returns a begun stream whose first attempt is lost.

    Args:
        context: State of the host.
        on_attempt: Called at each further attempt.
    """
    admission = relay_builders.admission(ROUTE, clock.now_s())
    relay = stream_relay.StreamRelay(context, admission, None, None)
    sent_at_s: list[float] = []

    def _attempt(plan, progress) -> None:
        sent_at_s.append(clock.now_s())
        if len(sent_at_s) == 1:
            relay._started = True
            relay.attempts.answer_started = True
            admission.terms.begin_answer()
            raise target_connection.AttemptError(
                serving.FailureKind.UNRESPONSIVE, "lost"
            )
        on_attempt()

    relay._attempt = _attempt
    relay.sent_at_s = sent_at_s
    return relay


def _lose_engine_until(context, now, until_s: float) -> None:
    """Makes the pool empty after the first attempt, until some time."""
    calls: list[float] = []

    def _choose(*_):
        calls.append(now[0])
        return ENGINE if len(calls) == 1 or now[0] >= until_s else None

    context.placement.choose = _choose


# The retry of a stream whose client left before the next attempt was missing
# for the window: others waited for it, although nothing had been sent.
def test_retry_that_is_not_made_is_returned_if_the_client_leaves(
    context, now, monkeypatch
):
    relay = _relay(context, lambda: None)
    _lose_engine_until(context, now, STARTED_S + 50.0)

    def _leave(for_s: float) -> None:
        now[0] += for_s
        if now[0] > STARTED_S + 1.0:
            raise context_lib.ClientDisconnectedError

    monkeypatch.setattr(target_connection, "pause", _leave)
    with pytest.raises(context_lib.ClientDisconnectedError):
        relay.run()
    assert len(relay.sent_at_s) == 1
    assert _attempts(context).reserve_retry()


# A stream that had waited for a retry took it and was then refused for its
# crashes: the retry was missing for others.
def test_retry_of_a_prompt_that_is_refused_is_returned(context, now):
    relay = _relay(context, lambda: None)
    # Asked before and after the choice of the first target.
    refused = iter([0.0, 0.0])
    context.suspects.refused_for_s = lambda *_: next(refused, 900.0)
    with pytest.raises(stream_channel.StreamAbortedError):
        relay.run()
    assert len(relay.sent_at_s) == 1
    assert _attempts(context).reserve_retry()


# A retry counted from the moment it was taken. Where its stream waited for an
# engine after that, two arrivals fell in one window of the rule BUDGET.
def test_retry_counts_in_the_window_in_which_it_is_sent(context, now):
    relay = _relay(context, lambda: None)
    _lose_engine_until(context, now, STARTED_S + 8.0)
    relay.run()
    assert relay.sent_at_s[1] >= STARTED_S + 8.0
    now[0] = STARTED_S + 11.0
    assert not _attempts(context).reserve_retry()


# A stream whose prompt was found to crash engines waited on for a retry, ahead
# of others, although it may not run any more.
def test_wait_for_budget_ends_when_the_prompt_is_refused(
    context, now, monkeypatch
):
    assert _attempts(context).reserve_retry()
    attempts = _begun(context)
    context.suspects.refused_for_s = lambda *_: 900.0
    attempts.can_retry()
    assert now[0] < STARTED_S + 1.0


# A stream waited for an engine while its prompt was found to crash them all,
# and was sent to the first one that came back (rule BUDGET).
def test_prompt_that_is_refused_during_the_wait_for_an_engine_is_not_sent(
    context, now
):
    relay = _relay(context, lambda: None)
    _lose_engine_until(context, now, STARTED_S + 8.0)
    context.suspects.refused_for_s = lambda *_: (
        900.0 if now[0] >= STARTED_S + 4.0 else 0.0
    )
    with pytest.raises(stream_channel.StreamAbortedError):
        relay.run()
    assert len(relay.sent_at_s) == 1


# The end of a stream whose client left in the wait said that it had not
# waited, so that an impatient client looked like the cause.
def test_wait_that_the_client_ends_is_logged(context, now, monkeypatch):
    assert _attempts(context).reserve_retry()
    attempts = _begun(context)

    def _leave(for_s: float) -> None:
        now[0] += for_s
        if now[0] > STARTED_S + 5.0:
            raise context_lib.ClientDisconnectedError

    monkeypatch.setattr(target_connection, "pause", _leave)
    with pytest.raises(context_lib.ClientDisconnectedError):
        attempts.can_retry()
    assert attempts.log_fields()["budget_wait_s"] == pytest.approx(5.0, abs=0.1)


# A stream that was cut for want of retry budget at its deadline was counted
# and logged under `time`, like one whose engine was slow.
def test_wait_that_ends_at_the_deadline_names_the_budget(context, now):
    context.retry_budget.set_bounds(WINDOW_S, 0.0, 0.0)
    attempts = _begun(context)
    assert not attempts.can_retry()
    assert attempts.log_fields()["not_retried"] == "retry_budget"


# One moment without retry budget kept a lookup at its silent target for twice
# as long, although the budget came back 0.3 s later and others could answer.
def test_lookup_leaves_its_target_when_the_budget_is_back(context, now):
    route = relay_builders.route(objective_s=1.0)
    relay_builders.accept_routes(context, 2, route)
    patience_s = plain_relay.ATTEMPT_LIMIT_FACTOR * route.objective_s
    back_at_s = STARTED_S + patience_s + 0.3
    window = context.retry_budget.window_of("pool")
    assert window.try_acquire(back_at_s - WINDOW_S)
    relay = plain_relay.PlainRelay(
        context, relay_builders.admission(route, STARTED_S)
    )

    def _read(until_s: float) -> bytes:
        now[0] = max(now[0], until_s)
        raise target_connection.ReadWaitExpired

    with pytest.raises(target_connection.AttemptError):
        relay._wait(_read, STARTED_S)
    assert now[0] <= back_at_s + 2 * plain_relay.MAX_READ_WAIT_S


# A lookup that had kept one target for want of budget kept the next one as
# well, whatever the budget was by then.
def test_lookup_asks_for_budget_at_each_target(context, now):
    route = relay_builders.route(objective_s=1.0)
    relay_builders.accept_routes(context, 2, route)
    window = context.retry_budget.window_of("pool")
    assert window.try_acquire(STARTED_S - WINDOW_S + 2.0)
    relay = plain_relay.PlainRelay(
        context, relay_builders.admission(route, STARTED_S)
    )

    def _read(until_s: float) -> bytes:
        now[0] = max(now[0], until_s)
        raise target_connection.ReadWaitExpired

    with pytest.raises(target_connection.AttemptError):
        relay._wait(_read, STARTED_S)
    context.retry_budget.set_bounds(WINDOW_S, 0.0, 10.0)
    second_at_s = now[0]
    with pytest.raises(target_connection.AttemptError):
        relay._wait(_read, second_at_s)
    patience_s = plain_relay.ATTEMPT_LIMIT_FACTOR * route.objective_s
    assert now[0] <= second_at_s + patience_s + plain_relay.MAX_READ_WAIT_S


# While the store was away, a stream that may only return to engines it had
# tried waited to its end, although one of them was sound: it had started again
# under the same id.
def test_stream_returns_to_an_engine_that_restarted_under_its_id(context, now):
    context.targets = serving.TargetRegistry()
    context.targets.upsert(ENGINE)
    context.placement.choose_by_reports = lambda rows, *_, **__: rows[0][0]
    context.prober.probe = lambda *_: serving.TargetReport({}, started_ms=2)
    attempts = _begun(context)
    attempts.returns_to_tried = True
    planner = stream_plan.StreamPlanner(
        context,
        attempts._admission,
        attempts,
        stream_departures.StreamTransfer(),
    )
    plan = planner.next_plan(started=True)
    assert plan is not None
    assert plan.entry == ENGINE


# A stream took the only retry a moment before its deadline, so that it was cut
# all the same, and the next one in the queue waited for another window.
def test_stream_whose_time_is_over_leaves_the_retry_to_the_next(context, now):
    assert _attempts(context).reserve_retry()
    attempts = _begun(context)
    now[0] = STARTED_S + WINDOW_S - 0.2
    end_s = STARTED_S + WINDOW_S + 0.06
    attempts.deadline_s = lambda: end_s
    attempts.can_retry()
    now[0] = end_s
    assert _attempts(context).reserve_retry()


# A host without descriptors could probe no engine, and blamed each of them.
def test_probe_without_descriptor_blames_no_engine(context, monkeypatch):
    def _no_descriptor(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(target_connection.socket, "socket", _no_descriptor)
    context.prober = target_prober.TargetProber(
        types.SimpleNamespace(path=b"/"), context.metrics
    )
    selector = engine_selection.EngineSelector(context)
    assert not selector.answers(ENGINE)
    assert context.loads.faults(ENGINE.target_id, clock.now_s()) == 0


# A begun stream was cut for crashes of which another request was the cause,
# although that is known within two seconds, when reports of other hosts arrive.
def test_begun_stream_outlives_a_suspicion_that_passes(
    context, now, monkeypatch
):
    relay = _relay(context, lambda: None)
    crashes = [(f"t{number}", "boot") for number in range(4)]

    attempt = relay._attempt

    def _record_crashes(plan, progress):
        if not relay.sent_at_s:
            for number, crash in enumerate(crashes[:3]):
                crashed_s = now[0] - 0.6 + 0.3 * number
                context.suspects.record_crash("f", *crash, 0, 0.1, crashed_s)
            assert 0 < context.suspects.refused_for_s("f", now[0]) <= 2.0
        attempt(plan, progress)

    def _pause(for_s: float) -> None:
        now[0] += for_s
        if now[0] >= STARTED_S + 1.0:
            for number, crash in enumerate(crashes):
                crashed_s = STARTED_S - 0.6 + 0.3 * number
                context.suspects.record_crash(
                    "cause", *crash, 0, 0.1, crashed_s
                )

    relay._attempt = _record_crashes
    monkeypatch.setattr(target_connection, "pause", _pause)
    relay.run()
    assert len(relay.sent_at_s) == 2


# A stream whose attempts were used up by refusals waited to its end for tried
# engines that had all ended, beside a sound one. It had run at none of them.
def test_stream_goes_on_elsewhere_if_all_tried_engines_have_ended(context):
    context.targets = serving.TargetRegistry()
    attempts = _attempts(context)
    attempts.answer_started = True
    error = target_connection.AttemptError(
        serving.FailureKind.REFUSED, "refused"
    )
    for _ in range(ROUTE.max_attempts):
        progress = attempt_progress.AttemptProgress(clock.now_s())
        attempts.record(relay_builders.target("ended"), error, progress)
    assert attempts.can_retry()
    assert attempts.returns_to_tried
    planner = stream_plan.StreamPlanner(
        context,
        attempts._admission,
        attempts,
        stream_departures.StreamTransfer(),
    )
    assert planner.next_plan(started=True) is not None


# A retry that was reserved to leave a silent engine was missing for the window
# if the client left during the last look at the engine.
def test_reserved_retry_is_returned_if_the_client_leaves(context):
    relay = _relay(context, lambda: None)

    def _leave(*_):
        assert relay.attempts.reserve_retry()
        raise context_lib.ClientDisconnectedError

    relay._attempt = _leave
    with pytest.raises(context_lib.ClientDisconnectedError):
        relay.run()
    assert _attempts(context).reserve_retry()


# Guards against waits that go by the bounds of their begin.
@pytest.mark.parametrize(
    "change",
    [
        lambda budget: budget.set_bounds(WINDOW_S, 0.0, 4.0),
        lambda budget: budget.set_bounds(1.0, 0.0, 2.0),
        lambda budget: budget.set_host_count(1),
    ],
)
def test_wait_for_budget_follows_changed_bounds(
    context, now, monkeypatch, change
):
    context.retry_budget.set_bounds(WINDOW_S, 0.0, 2.0)
    context.retry_budget.set_host_count(2)
    assert _attempts(context).reserve_retry()
    attempts = _begun(context)

    def _pause(for_s: float) -> None:
        now[0] += for_s
        if now[0] >= STARTED_S + 2.0:
            change(context.retry_budget)

    monkeypatch.setattr(target_connection, "pause", _pause)
    assert attempts.can_retry()
    assert now[0] < STARTED_S + 2.5


# Guards against a queue of one pool that holds up the others.
def test_wait_in_one_pool_holds_up_no_other(context, now):
    with context.retry_budget.window_of("other").waiting("answer"):
        assert _attempts(context).reserve_retry()
