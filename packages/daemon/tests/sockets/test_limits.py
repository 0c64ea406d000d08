"""Tests of the limits of reads that bring bytes all the time."""

from rattanpulleyd._internal.sockets import framing_limit
from rattanpulleyd._internal.sockets import late_reads


def test_reads_go_on_for_a_moment_after_a_time_limit():
    # Guards against an answer that waits in the kernel and is thrown away
    # because this host was stalled.
    late = late_reads.LateReads()
    assert not late.are_over(9.0, until_s=10.0)
    assert not late.are_over(15.0, until_s=10.0)
    assert late.are_over(15.0 + 2 * late_reads.LATE_READ_S, until_s=10.0)


def test_time_limit_that_moves_starts_anew():
    # Guards against a request that is ended by a timeout that was prolonged.
    late = late_reads.LateReads()
    assert not late.are_over(11.0, until_s=10.0)
    assert not late.are_over(12.0, until_s=20.0)
    assert not late.are_over(21.0, until_s=20.0)


def test_smallest_chunks_are_within_the_limit_of_framing():
    # Guards against sound bodies in chunks of one byte that are rejected.
    limit = framing_limit.FramingLimit()
    for _ in range(1000):
        limit.record_received(6 * 1000)
        limit.record_content(1000)
    assert not limit.is_exceeded()


def test_framing_without_content_exceeds_the_limit():
    # Guards against interim responses and chunk extensions without end.
    limit = framing_limit.FramingLimit()
    limit.record_received(framing_limit.MAX_FRAMING_BYTES + 1)
    assert limit.is_exceeded()
