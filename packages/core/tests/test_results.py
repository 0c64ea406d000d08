"""Tests of the result codes."""

from rattanpulley_core import results


def test_every_code_has_details():
    # Guards against a new code that the daemon could not present.
    assert set(results.DETAILS_BY_CODE) == set(results.ResultCode)
