"""Choice of engines by their reports, some of which have started again."""

import dataclasses
import random
import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import engine_selection
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import stream_departures

RESTARTED = dataclasses.replace(relay_builders.target("old"), started_ms=1)
CURRENT = dataclasses.replace(
    relay_builders.target("current", port=81), started_ms=1
)
SILENT = relay_builders.target("silent", port=82)
QUERY = serving.PlacementQuery("pool", frozenset(), needs_prefill=True)
LOST_QUERY = dataclasses.replace(QUERY, excluded_ids=frozenset({"lost"}))


@pytest.fixture
def context():
    """State of a host that has not heard of a restart."""
    context = relay_builders.make_context("a")
    context.targets = serving.TargetRegistry()
    gate = serving.VersionGate()
    gate.apply_orders((), [("pool", "v1")])
    context.placement = serving.Placement(
        context.targets, context.loads, "north", random.Random(1), gate
    )
    reports = {
        # The restarted one is idle and would be preferred.
        RESTARTED.target_id: serving.TargetReport({}, started_ms=2),
        CURRENT.target_id: serving.TargetReport(
            {"run": 1}, running=1, started_ms=1
        ),
    }
    context.reports = reports
    context.prober = types.SimpleNamespace(
        probe=lambda entry, *_: reports.get(entry.target_id)
    )
    context.targets.upsert(RESTARTED)
    return context


# The holder had started again without the copy. A stream left its silent
# target for it, was refused, and the refusal cost another retry.
def test_stream_does_not_leave_for_a_copy_that_a_restart_has_lost(context):
    attempts = types.SimpleNamespace(
        left_after_current=2, reserve_retry=lambda: True
    )
    admission = types.SimpleNamespace(pool="pool")
    departures = stream_departures.StreamDepartures(
        context, admission, attempts, stream_departures.StreamTransfer()
    )
    copy = memory_copies.MemoryCopy(RESTARTED, "10.0.0.1:80/id")
    assert departures.prepare(SILENT, 1.0, copy) == "no other target answers"


# A begun stream that had lost its target spent its retry on an engine that had
# started again under another id and turned it away, while others could take it.
def test_restarted_engine_is_chosen_last_after_a_loss(context):
    context.targets.upsert(CURRENT)
    selector = engine_selection.EngineSelector(context)
    assert selector.choose(LOST_QUERY, "id") is CURRENT
    assert selector.answering_engine(QUERY) is CURRENT


# Guards against a host that sends nothing to a pool which has restarted: the
# refusal tells it the new id.
def test_restarted_engine_is_chosen_if_there_is_no_other(context):
    context.targets.upsert(dataclasses.replace(RESTARTED, target_id="other"))
    selector = engine_selection.EngineSelector(context)
    assert selector.choose(QUERY, "id") is not None


# New prompts kept away from restarted engines until the store listed these, so
# that a domain took no work for seconds after its restart.
def test_new_prompt_goes_to_an_engine_that_has_restarted(context):
    context.targets.upsert(CURRENT)
    selector = engine_selection.EngineSelector(context)
    assert selector.choose(QUERY, "id") is RESTARTED


# While the store was away, an engine that had started again got no prompt, so
# that its host never learned the new id; all went to the queue of another one.
def test_restarted_engine_is_learned_beside_one_with_a_long_queue(context):
    context.targets.upsert(CURRENT)
    context.reports[CURRENT.target_id] = serving.TargetReport(
        {}, 30, 6, started_ms=1
    )
    selector = engine_selection.EngineSelector(context)
    chosen = {selector.choose(QUERY, "id") for _ in range(50)}
    assert RESTARTED in chosen


# After a loss, a stream spent one of the two retries of its host on a restarted
# engine that was known to turn it away: the current one had one prompt.
def test_retry_is_not_spent_on_an_engine_that_has_restarted(context):
    context.targets.upsert(CURRENT)
    context.reports[CURRENT.target_id] = serving.TargetReport(
        {}, 1, 0, started_ms=1
    )
    selector = engine_selection.EngineSelector(context)
    chosen = {selector.choose(LOST_QUERY, "id") for _ in range(50)}
    assert chosen == {CURRENT}


# A begun stream that had tried all engines waited until its deadline when they
# had restarted under their ids and the store was away.
def test_stream_returns_to_an_engine_that_has_restarted(context):
    selector = engine_selection.EngineSelector(context)
    assert selector.choose_among([RESTARTED]) is RESTARTED


# Guards against a check that rejects targets whose start is not known.
@pytest.mark.parametrize(("reported_ms", "known_ms"), [(0, 1), (1, 0), (0, 0)])
def test_unknown_start_is_no_restart(reported_ms, known_ms):
    report = serving.TargetReport({}, started_ms=reported_ms)
    assert report.matches_start(known_ms)


# Memory was copied to an engine whose id the host did not know.
def test_restarted_engine_holds_no_copy(context):
    selector = engine_selection.EngineSelector(context)
    runs_on = dataclasses.replace(SILENT, domain="south")
    assert selector.choose_holder("pool", runs_on) is None
