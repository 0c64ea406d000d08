"""Tests of the resume latency results."""

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
    rounds = rounds_lib.FaultRounds(None, 8)
    harmed = frozenset({"aaaaaaaa"})
    rounds.injections.append(
        injector_lib.Injection(Kind.RESET, ("engine-1",), 10.0, harmed)
    )
    return rounds.result(Kind.RESET, records)


def test_only_answers_of_failed_engines_count():
    # Guards against unaffected answers that lower the measured latency.
    harmed = answer("aaaaaaaa", (9.9, 10.4, 10.5, 10.6))
    other = answer("bbbbbbbb", (9.9, 10.0, 10.1, 10.2))
    ended = answer("aaaaaaaa", (9.0, 9.1, 9.2, 9.3))
    result = result_of([harmed, other, ended])
    assert [round(gap, 6) for gap in result.gaps_s] == [0.5]
    assert result.not_resumed == 0


def test_answer_that_never_resumes_is_counted():
    # Guards against a lost answer that goes uncounted because it has no gap.
    result = result_of([answer("aaaaaaaa", (9.8, 9.9))])
    assert result == rounds_lib.LatencyResult((), not_resumed=1)


def test_bound_adds_token_interval_and_requires_samples():
    # Guards against a bound that counts as met without any measured gap.
    bound = results.LatencyBound(95, 250, adds_token_interval=True)
    assert bound.evaluate((0.28,), 30)["met"]
    assert not bound.evaluate((0.281,), 30)["met"]
    assert not bound.evaluate((), 30)["met"]


def test_percentiles_are_nearest_rank():
    # Guards against interpolation, which lowers the tail percentiles.
    values = [float(n) for n in range(1, 101)]
    assert record_lib.percentile(values, 50) == 50
    assert record_lib.percentile(values, 99) == 99
    assert record_lib.percentile(values[:10], 99) == 10
