"""Tests of the answer checker and the answer record."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rattanpulley_standins._internal.load import checker as checker_lib
from rattanpulley_standins._internal.load import record as record_lib

WORDS = [f"0123abcd.v1.{index} " for index in range(6)]


def check(words):
    checker = checker_lib.AnswerChecker(len(WORDS))
    for word in words:
        checker.feed(word)
    checker.finish()
    return checker


def test_a_complete_answer_has_no_problems():
    # Guards against a checker that rejects a correct answer.
    assert check(WORDS).is_complete


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.integers(0, 5), max_size=9))
def test_any_other_sequence_is_detected(indexes):
    # Guards against an undetected gap, repetition, swap or missing end.
    checker = check([WORDS[index] for index in indexes])
    assert checker.is_complete == (indexes == [0, 1, 2, 3, 4, 5])


def test_mixed_generations_are_detected():
    # Guards against an answer of two generations or versions.
    for other in ("0123abce.v1.3 ", "0123abcd.v2.3 "):
        checker = check([*WORDS[:3], other, *WORDS[4:]])
        assert checker.problems()["mixed"] == 1


def test_an_answer_without_an_end_marker_is_not_complete():
    # Guards against a lost connection that counts as the end of the answer.
    checker = checker_lib.AnswerChecker(len(WORDS))
    checker.feed("".join(WORDS))
    assert not checker.is_complete


def test_the_gap_at_a_fault_is_the_resume_latency():
    # Guards against a latency that is read from another gap of the answer.
    record = record_lib.AnswerRecord("", checker_lib.AnswerChecker(5), 0.0)
    for now_s in (1.0, 4.0, 4.1, 4.6, 4.7):
        record.record_tokens(1, now_s)
    gap = record.gap_at(4.12)
    assert gap is not None
    assert (gap.start_s, gap.end_s) == (4.1, 4.6)
