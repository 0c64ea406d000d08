"""Tests of the result codes."""

from rattanpulley_core import results


def test_every_code_has_details():
    # Guards against a new code without details for its response.
    assert set(results.DETAILS_BY_CODE) == set(results.ResultCode)
