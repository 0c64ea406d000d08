"""Tests of verdicts and of the JSON forms of facts."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import moves

VERDICTS = st.builds(
    moves.Verdict,
    pool=st.sampled_from(["p", "q"]),
    version=st.just("v2"),
    move_id=st.sampled_from(["m1", "m2"]),
    daemon=st.sampled_from(["a", "b"]),
    wall_s=st.sampled_from([1.0, 2.0]),
    evidence=st.just("e"),
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(VERDICTS, max_size=8), st.lists(VERDICTS, max_size=8))
def test_merge_is_a_union(first, second):
    # Guards against a verdict that an old message reverts, and against daemons
    # that diverge after they have received the same messages.
    one, two = moves.VerdictSet(first), moves.VerdictSet(second)
    keys = {verdict.key for verdict in (*first, *second)}
    one.merge(moves.VerdictSet(second))
    two.merge(moves.VerdictSet(first))
    assert one == two
    assert {verdict.key for verdict in one} == keys
    assert not one.merge(two)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(VERDICTS)
def test_a_verdict_survives_its_json_form(verdict):
    value = {**moves.verdict_to_json(verdict), "later_field": 1}
    assert moves.verdict_from_json(value) == verdict


@pytest.mark.parametrize("value", [None, {}, [], {"pool": "p"}, "x"])
def test_invalid_values_are_rejected(value):
    # Guards against a malformed message of a peer that ends a daemon's loop.
    for parse in (
        moves.verdict_from_json,
        moves.batch_from_json,
        moves.report_from_json,
    ):
        with pytest.raises(ValueError, match="not a"):
            parse(value)


def test_a_batch_survives_its_json_form():
    crash = moves.CrashEvent("north", "n1", True, 5.0)
    observation = moves.Observation(
        moves.Signal.CRASHES, "r", 0.1, moves.Counts(new_bad=1), ("n1",), crash
    )
    batch = moves.EvidenceBatch("a", "boot", 3, "p", "m1", (observation,))
    assert moves.batch_from_json(moves.batch_to_json(batch)) == batch
    value = moves.batch_to_json(batch)
    value["observations"][0][3][0] = -1
    with pytest.raises(ValueError, match="negative"):
        moves.batch_from_json(value)
