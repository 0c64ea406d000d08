"""Tests of the timing of repeated calls to the store."""

from rattanpulleyd._internal.relay.refresh import store_backoff


def test_unreachable_store_is_called_less_often():
    # Guards against frequent calls to an unreachable store: 25 hosts that were
    # refused made half of the calls of a day.
    retry = store_backoff.RetryBackoff()
    pauses = [retry.next_delay_s() for _ in range(10)]
    assert pauses == sorted(pauses)
    assert (pauses[0], pauses[-1]) == (0.35, 0.9)
    retry.reset()
    assert retry.next_delay_s() == 0.35
