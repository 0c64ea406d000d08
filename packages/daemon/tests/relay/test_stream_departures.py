"""Where a stream goes that leaves a silent target."""

import random
import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import stream_departures
from rattanpulleyd._internal.relay import stream_plan

SILENT = relay_builders.target("silent")
HOLDER = relay_builders.target("holder", port=81)


@pytest.fixture
def context():
    context = relay_builders.make_context("a")
    context.targets = serving.TargetRegistry()
    gate = serving.VersionGate()
    gate.apply_orders((), [("pool", "v1")])
    context.targets.upsert(SILENT)
    context.targets.upsert(HOLDER)
    context.placement = serving.Placement(
        context.targets, context.loads, "north", random.Random(1), gate
    )
    context.prober = types.SimpleNamespace(
        probe=lambda entry, *_: (
            serving.TargetReport({}) if entry is HOLDER else None
        )
    )
    return context


# A stream that had been at the holder of its copy before left its silent target
# before the first event, and the next attempt went to the silent one again.
def test_departure_before_the_first_event_goes_to_the_target_that_answers(
    context,
):
    context.loads.record_fault(HOLDER.target_id, clock.now_s())
    context.loads.record_fault(HOLDER.target_id, clock.now_s())
    attempts = types.SimpleNamespace(
        left_after_current=2,
        tried_ids=(HOLDER.target_id,),
        prefers_canary=False,
        reserve_retry=lambda: True,
        last=serving.FailureKind.UNRESPONSIVE,
        deadline_s=lambda: clock.now_s() + 60.0,
    )
    admission = types.SimpleNamespace(
        pool="pool",
        request=types.SimpleNamespace(request_id="id"),
        route=types.SimpleNamespace(resumable=True),
    )
    transfer = stream_departures.StreamTransfer()
    departures = stream_departures.StreamDepartures(
        context, admission, attempts, transfer
    )
    planner = stream_plan.StreamPlanner(context, admission, attempts, transfer)
    copy = memory_copies.MemoryCopy(HOLDER, "10.0.0.1:81/id")
    assert departures.prepare(SILENT, 0.5, copy) is None
    attempts.tried_ids = (HOLDER.target_id, SILENT.target_id)
    context.loads.record_fault(SILENT.target_id, clock.now_s(), 0.4)
    plan = planner.next_plan(started=False)
    assert plan is not None
    assert plan.entry is HOLDER
