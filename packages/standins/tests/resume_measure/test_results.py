"""Tests of the figures of the resume latency."""

from rattanpulley_standins._internal.injection import injector as injector_lib
from rattanpulley_standins._internal.load import checker as checker_lib
from rattanpulley_standins._internal.load import record as record_lib
from rattanpulley_standins._internal.resume_measure import results
from rattanpulley_standins._internal.resume_measure import rounds as rounds_lib

Kind = injector_lib.FaultKind


def answer(short_generation_id, times, length=4):
    checker = checker_lib.AnswerChecker(
        length, short_generation_id=short_generation_id
    )
    record = record_lib.AnswerRecord("", checker, 0.0)
    for now_s in times:
        record.record_tokens(1, now_s)
    return record


def result_of(records):
    rounds = rounds_lib.Rounds(None, 8)
    harmed = frozenset({"aaaaaaaa"})
    rounds.injections.append(
        injector_lib.Injection(Kind.RESET, ("engine-1",), 10.0, harmed)
    )
    return rounds.result(Kind.RESET, records)


def test_only_answers_of_harmed_engines_count():
    # Guards against a latency that unharmed answers make smaller.
    harmed = answer("aaaaaaaa", (9.9, 10.4, 10.5, 10.6))
    other = answer("bbbbbbbb", (9.9, 10.0, 10.1, 10.2))
    ended = answer("aaaaaaaa", (9.0, 9.1, 9.2, 9.3))
    result = result_of([harmed, other, ended])
    assert [round(gap, 6) for gap in result.gaps_s] == [0.5]
    assert result.not_resumed == 0


def test_an_answer_that_never_goes_on_is_counted():
    # Guards against a lost answer that has no gap and so looks good.
    result = result_of([answer("aaaaaaaa", (9.8, 9.9))])
    assert result == rounds_lib.KindResult((), not_resumed=1)


def test_a_bound_adds_the_interval_and_needs_samples():
    # Guards against a bound that is met without a measurement.
    bound = results.Bound(95, 250, beyond_interval=True)
    assert bound.judge((0.28,), 30)["met"]
    assert not bound.judge((0.281,), 30)["met"]
    assert not bound.judge((), 30)["met"]


def test_percentiles_are_nearest_rank():
    # Guards against a tail that interpolation makes smaller.
    values = [float(n) for n in range(1, 101)]
    assert record_lib.percentile(values, 50) == 50
    assert record_lib.percentile(values, 99) == 99
    assert record_lib.percentile(values[:10], 99) == 10
