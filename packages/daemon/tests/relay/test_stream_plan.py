"""Waits of a stream for an engine."""

import dataclasses
import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import stream_departures
from rattanpulleyd._internal.relay import stream_plan
from rattanpulleyd._internal.relay import target_connection

STARTED_S = 100.0
ROUTE = relay_builders.route(
    serving.RouteKind.STREAM, resumable=True, timeout_s=5.0
)


@pytest.fixture
def now(monkeypatch) -> list[float]:
    """Returns the time of the relay, which only pauses advance."""
    values = [STARTED_S]
    monkeypatch.setattr(clock, "now_s", lambda: values[0])
    return values


@pytest.fixture
def context(now):
    context = relay_builders.make_context("a")
    context.trials = types.SimpleNamespace(admit_request=lambda *_: False)
    context.placement = types.SimpleNamespace(
        shortlist=lambda *_: [],
        choose=lambda *_: None,
        shortage=lambda *_: serving.Shortage(),
    )
    relay_builders.accept_routes(context, 1, ROUTE)
    return context


def _planner(context) -> stream_plan.StreamPlanner:
    """Returns the planner of a stream that has begun."""
    admission = relay_builders.admission(ROUTE, STARTED_S)
    attempts = attempts_lib.RequestAttempts(context, admission, 12)
    attempts.answer_started = True
    admission.terms.begin_answer()
    return stream_plan.StreamPlanner(
        context, admission, attempts, stream_departures.StreamTransfer()
    )


# A stream gave up its wait for an engine at its old timeout, which had been
# lengthened meanwhile.
def test_longer_timeout_holds_for_a_stream_without_engine(
    context, now, monkeypatch
):
    engine = relay_builders.target("t")

    def _pause(for_s: float) -> None:
        now[0] += for_s
        if now[0] >= STARTED_S + 4.0:
            longer = dataclasses.replace(ROUTE, timeout_s=20.0)
            relay_builders.accept_routes(context, 2, longer)
        if now[0] >= STARTED_S + 10.0:
            context.placement.choose = lambda *_: engine

    monkeypatch.setattr(target_connection, "pause", _pause)
    plan = _planner(context).next_plan(started=True)
    assert plan is not None
    assert plan.entry is engine


# A stream without engine was not ended by the stop of its host, but by the end
# of the process.
def test_stop_ends_the_wait_of_a_stream_for_an_engine(
    context, now, monkeypatch
):
    def _pause(for_s: float) -> None:
        now[0] += for_s
        if now[0] >= STARTED_S + 1.0:
            context.host_stop.deadline_s = STARTED_S + 2.0

    monkeypatch.setattr(target_connection, "pause", _pause)
    assert _planner(context).next_plan(started=True) is None
    assert now[0] <= STARTED_S + 2.0 + stream_plan.NO_TARGET_POLL_S


# Guards against a lookup of a pool that is gone: the stream goes on there.
def test_stream_goes_on_in_a_pool_that_is_gone(context):
    engine = relay_builders.target("t")
    context.placement.choose = lambda *_: engine
    planner = _planner(context)
    relay_builders.accept_routes(context, 2)
    assert planner.next_plan(started=True) == stream_plan.AttemptPlan(
        engine, None, None
    )


# A stream returned to a target that had started again as one of another pool.
def test_stream_returns_only_to_targets_of_its_pool(context, now, monkeypatch):
    entry = relay_builders.target("t")
    context.targets = serving.TargetRegistry()
    context.targets.upsert(entry)
    context.placement.choose_by_reports = lambda rows, *_, **__: rows[0][0]
    context.prober = types.SimpleNamespace(
        probe=lambda *_: serving.TargetReport({})
    )
    monkeypatch.setattr(
        target_connection, "pause", lambda for_s: now.append(now.pop() + for_s)
    )
    planner = _planner(context)
    planner._attempts._tracker.tried_ids.append("t")
    planner._attempts.returns_to_tried = True
    plan = planner.next_plan(started=True)
    assert plan is not None
    assert plan.entry is entry
    context.targets.upsert(dataclasses.replace(entry, pool="other"))
    assert planner.next_plan(started=True) is None


# After a wait for retry budget, the next attempt went to the holder of a copy
# that engines drop within seconds, and its refusal cost another retry.
@pytest.mark.parametrize(("waited_s", "is_used"), [(0.5, True), (5.0, False)])
def test_stream_goes_on_from_recent_copies_only(
    context, now, waited_s, is_used
):
    engine, holder = relay_builders.target("t"), relay_builders.target("holder")
    context.placement.choose = lambda *_: engine
    context.prober = types.SimpleNamespace(
        probe=lambda *_: serving.TargetReport({})
    )
    planner = _planner(context)
    planner._attempts.last = serving.FailureKind.CONNECTION_LOST
    planner.keep_copy(memory_copies.MemoryCopy(holder, "10.0.0.1:80/id"))
    now[0] += waited_s
    plan = planner.next_plan(started=True)
    assert plan is not None
    assert plan.entry is (holder if is_used else engine)
