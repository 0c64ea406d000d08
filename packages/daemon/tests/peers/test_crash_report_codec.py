"""Tests of the encoding of crash reports as facts."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import generations
from rattanpulley_core import peers
from rattanpulley_core import suspects
from rattanpulleyd._internal.peers import crash_report_codec

RUN = suspects.CrashedRun(started_s=95.5, crashed_s=98.0, tokens=66)
REPORT = generations.PublishCrashReport("print", "t1", "boot", RUN)


def receive(published, now_s):
    """Returns the fact at a daemon whose clock shows `now_s` at receipt."""
    return peers.Fact(
        published.kind,
        published.key,
        published.version,
        published.value,
        now_s + published.time_to_live_s,
    )


def test_run_is_converted_to_the_clock_of_the_receiver():
    # Guards against crashes at one moment that look separate at a peer.
    published = crash_report_codec.encode(REPORT, now_s=100.0)
    report = crash_report_codec.decode(receive(published, now_s=5000.0))
    assert (report.fingerprint, report.target) == ("print", "t1")
    assert report.boot_id == "boot"
    assert report.run.crashed_s == pytest.approx(4998.0)
    assert report.run.started_s == pytest.approx(4995.5)
    assert report.run.tokens == 66
    assert report.run.clock_error_s > 0


def test_two_daemons_name_one_crash_by_the_same_key():
    # Guards against one crash that is stored once for each daemon.
    other_run = suspects.CrashedRun(1.0, 2.0, 3)
    other = generations.PublishCrashReport("print", "t1", "boot", other_run)
    keys = {
        crash_report_codec.encode(report, 100.0).key
        for report in (REPORT, other)
    }
    assert len(keys) == 1


def test_report_without_a_run_is_accepted():
    # Guards against reports of earlier versions that are dropped.
    value = json.dumps(["print", "t1", "boot"]).encode()
    fact = peers.Fact(peers.FactKind.CRASH_REPORT, "k", 1, value, 9.0)
    assert crash_report_codec.decode(fact).run is None


@settings(derandomize=True, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=40),
        st.recursive(
            st.one_of(st.none(), st.booleans(), st.integers(), st.text()),
            lambda inner: st.lists(inner, max_size=6),
        ).map(lambda value: json.dumps(value).encode()),
    )
)
def test_any_other_value_is_malformed(value):
    # Guards against a message of a peer that ends the peer protocol.
    fact = peers.Fact(peers.FactKind.CRASH_REPORT, "k", 1, value, 9.0)
    try:
        report = crash_report_codec.decode(fact)
    except crash_report_codec.MalformedCrashReportError:
        return
    assert isinstance(report.fingerprint, str)
    assert isinstance(report.target, str)
