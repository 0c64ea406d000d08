"""Tests of the version moves of one daemon with a simulated clock."""

import dataclasses
import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import moves
from rattanpulley_core import tables

START_S = 1.8e9
HOUR_S = 3600.0
MOVE = tables.Move("m1", "v1", "v2", START_S, START_S + 10 * HOUR_S)


def target(name, version, domain):
    return tables.TargetSpec(name, f"http://{name}:1", domain, version)


TARGETS = (
    target("o1", "v1", "north"),
    target("o2", "v1", "south"),
    target("n1", "v2", "north"),
    target("n2", "v2", "south"),
)
POOL = tables.Pool(
    "p",
    tables.TargetKind.ENGINE,
    {
        "v1": tables.VersionSpec("v1", 2.0),
        "v2": tables.VersionSpec("v2", 0.0),
        "v0": tables.VersionSpec("v0", 1.0),
    },
    {t.name: t for t in TARGETS},
    MOVE,
)
ROUTE = tables.Route(
    "r", tables.Match(model="m"), "p", tables.TargetKind.ENGINE, deadline_s=570
)


class Daemon:
    """A move manager whose clock is given in hours since the start."""

    def __init__(self, names=("a",), move=MOVE):
        self.manager = moves.MoveManager("a", "boot")
        self.names = names
        self.set_move(move)
        self.manager.set_daemons(names)
        self.actions = []

    def set_move(self, move):
        pool = dataclasses.replace(POOL, move=move)
        routes = tables.RouteTable(1, {"r": ROUTE})
        self.manager.set_tables(routes, tables.PoolTable(1, {"p": pool}))

    def tick(self, hours, old_running=0):
        now_s = hours * HOUR_S
        self.actions = self.manager.tick(
            now_s, START_S + now_s, {"p": old_running}
        )
        return self.manager.share("p")

    def end_request(
        self, hours, name, result=moves.Result.OK, share=0.1, **times
    ):
        spec = POOL.targets_by_name[name]
        self.manager.handle(
            moves.RequestEnded(
                "p", "r", spec.failure_domain, name, spec.version, share,
                result, **times,
            ),
            hours * HOUR_S,
        )  # fmt: skip

    def status(self, old_running=0):
        return self.manager.statuses({"p": old_running})[0]

    def feed_requests(self, hours, old_bad, new_bad, rounds=30):
        """Ends nine old requests and one new request in each round."""
        for index in range(rounds):
            for number in range(10):
                side = "12"[(index + number) % 2]
                is_new = number == 9
                bad = new_bad if is_new else old_bad
                result = moves.Result.ERROR if bad else moves.Result.OK
                self.end_request(
                    hours, f"{'n' if is_new else 'o'}{side}", result
                )
            self.tick(hours)


@pytest.fixture
def daemon():
    return Daemon()


def test_the_date_is_met_without_any_traffic(daemon):
    # Guards against a jump of the share, which would send many requests to a
    # bad version at once.
    shares = [daemon.tick(minute / 60) for minute in range(10 * 60)]
    assert shares[0] == moves.INITIAL_SHARE
    assert shares[4 * 60] == moves.INITIAL_SHARE
    assert shares[-1] == 1.0
    assert all(b <= 1.3 * a for a, b in itertools.pairwise(shares))
    assert daemon.status().state is moves.MoveState.DONE


def test_evidence_lets_the_share_grow_on_plan(daemon):
    for minute in range(5 * 60):
        daemon.feed_requests(
            minute / 60, old_bad=False, new_bad=False, rounds=3
        )
    assert 0.08 < daemon.manager.share("p") < 0.12


def test_a_bad_version_is_taken_back_at_once(daemon):
    daemon.tick(1)
    daemon.feed_requests(1, old_bad=False, new_bad=True)
    assert daemon.manager.share("p") == 0.0
    assert daemon.manager.version_weights("p")["v2"] == 0.0
    status = daemon.status()
    assert status.state is moves.MoveState.TAKEN_BACK
    assert "errors on" in status.reason


def test_failed_requests_go_back_until_the_date_or_a_verdict(daemon):
    # Guards against requests that fail although the old version still runs, and
    # against an old version that receives requests after the deadline.
    daemon.tick(9.99)
    assert daemon.manager.share("p") == 1.0
    daemon.end_request(9.99, "n1", share=1.0)
    assert daemon.manager.retry_version("p") == "v1"
    daemon.tick(10)
    assert daemon.manager.retry_version("p") is None


def test_failed_requests_go_back_until_the_new_version_succeeds_once(daemon):
    # Guards against callers that get the errors of a bad version because the
    # date passed without traffic, so that it was never compared.
    daemon.tick(9.99)
    daemon.tick(10.5)
    daemon.end_request(10.5, "n1", moves.Result.ERROR, share=1.0)
    daemon.end_request(10.5, "n2", moves.Result.CRASH, share=1.0)
    daemon.end_request(10.5, "o1", share=1.0)
    assert daemon.manager.retry_version("p") == "v1"
    daemon.end_request(10.5, "n2", share=1.0)
    assert daemon.manager.retry_version("p") is None


def test_success_at_a_peer_proves_the_new_version(daemon):
    # Guards against an old version that one daemon without traffic keeps using
    # after the deadline.
    counts = moves.Counts(new_ok=1)
    observation = moves.Observation(
        moves.Signal.ERRORS, "r", share=0.1, counts=counts
    )
    daemon.tick(10)
    assert daemon.manager.retry_version("p") == "v1"
    batch = moves.EvidenceBatch("b", "boot-b", 1, "p", "m1", (observation,))
    daemon.manager.handle(batch, 10 * HOUR_S)
    assert daemon.manager.retry_version("p") is None


@pytest.mark.parametrize("at_hours", [9.8, 10.8])
@pytest.mark.parametrize("is_bad", [True, False])
def test_errors_at_full_share_are_compared_with_the_old_version(
    daemon, is_bad, at_hours
):
    # Guards against a bad version that is never detected because there was no
    # traffic before its share reached 1, or none before its date.
    daemon.tick(9.8)
    daemon.tick(at_hours)
    for name in ("n1", "n2"):
        daemon.end_request(at_hours, name, moves.Result.ERROR, share=1.0)
    share = daemon.tick(at_hours + 0.01)
    assert share == 0.5
    for _ in range(40):
        for name in ("n1", "n2", "o1", "o2"):
            result = moves.Result.OK
            if is_bad and name.startswith("n"):
                result = moves.Result.ERROR
            daemon.end_request(at_hours + 0.02, name, result, share=0.5)
        share = daemon.tick(at_hours + 0.02)
    share = daemon.tick(at_hours + 0.19)
    assert share == (0.0 if is_bad else 1.0)


def test_a_verdict_leaves_no_version_to_go_back_to(daemon):
    daemon.feed_requests(1, old_bad=False, new_bad=True)
    assert daemon.manager.share("p") == 0.0
    assert daemon.manager.retry_version("p") is None


def test_a_failure_of_both_versions_condemns_neither(daemon):
    daemon.tick(1)
    daemon.feed_requests(1, old_bad=True, new_bad=True, rounds=100)
    assert daemon.status().state is moves.MoveState.MOVING


def test_a_slower_version_is_taken_back(daemon):
    for index in range(60):
        name = f"o{1 + index % 2}"
        daemon.end_request(1, name, first_token_s=0.5 + index % 7 / 50)
    for index in range(20):
        daemon.tick(1)
        daemon.end_request(1, f"n{1 + index % 2}", first_token_s=1.2)
    daemon.tick(1)
    assert "first_token" in daemon.status().reason
    assert daemon.manager.share("p") == 0.0


def test_a_lost_rack_is_one_crash(daemon):
    # Guards against a verdict from one loss that ends a hundred requests.
    daemon.tick(1)
    daemon.feed_requests(1, old_bad=False, new_bad=False)
    for _ in range(100):
        daemon.end_request(1, "n1", moves.Result.CRASH)
    daemon.tick(1.001)
    assert daemon.status().state is moves.MoveState.MOVING


def test_one_bad_target_does_not_condemn_the_version(daemon):
    # Guards against a verdict from one broken host, which is ejected instead.
    daemon.tick(1)
    daemon.feed_requests(1, old_bad=False, new_bad=False)
    for _ in range(50):
        daemon.end_request(1, "n1", moves.Result.ERROR)
        daemon.tick(1.001)
    assert daemon.status().state is not moves.MoveState.TAKEN_BACK


def test_a_verdict_stays_until_a_new_move_id(daemon):
    daemon.tick(1)
    verdict = moves.Verdict("p", "v2", "m1", "b", START_S, "errors")
    daemon.manager.handle(verdict, HOUR_S)
    assert daemon.manager.share("p") == 0.0
    daemon.set_move(dataclasses.replace(MOVE, finish_by_s=START_S + 9e4))
    assert daemon.tick(2) == 0.0
    daemon.set_move(dataclasses.replace(MOVE, move_id="m2"))
    assert daemon.tick(2) > 0.0


def test_an_operator_takes_a_move_back(daemon):
    daemon.tick(1)
    daemon.set_move(dataclasses.replace(MOVE, taken_back=True))
    assert daemon.tick(1.01) == 0.0
    (action,) = [
        a for a in daemon.actions if isinstance(a, moves.PublishVerdict)
    ]
    assert action.verdict.daemon == "operator"
    # The verdict remains with a later table without the field.
    daemon.set_move(MOVE)
    assert daemon.tick(1.02) == 0.0


def test_a_paused_share_is_the_same_after_a_restart():
    move = dataclasses.replace(
        MOVE, paused=True, paused_at_s=START_S + 8 * HOUR_S
    )
    running = Daemon()
    for minute in range(8 * 60 + 1):
        share = running.tick(minute / 60)
    running.set_move(move)
    restarted = Daemon(move=move)
    assert running.tick(9) == share
    assert restarted.tick(9) == pytest.approx(share, rel=0.02)
    assert restarted.status().state is moves.MoveState.AT_RISK


def test_a_silent_daemon_keeps_a_move_from_being_done():
    daemon = Daemon(names=("a", "b"))
    for minute in range(10 * 60):
        daemon.tick(minute / 60)
    assert daemon.status().waiting_for == ("b",)
    daemon.tick(10.01)
    assert daemon.status().state is moves.MoveState.AT_RISK
    for running, state in ((1, "at_risk"), (0, "done")):
        report = moves.DaemonReport("b", "p", "m1", 1.0, running)
        daemon.manager.handle(report, 36100.0)
        assert daemon.status().state.value == state
    assert daemon.status(old_running=2).waiting_for == ("a",)


def test_weights_outside_of_the_move_are_kept(daemon):
    daemon.tick(0)
    weights = daemon.manager.version_weights("p")
    assert weights == {"v1": 1.98, "v2": 0.02, "v0": 1.0}
    assert daemon.manager.version_weights("none") == {}


def test_a_repeated_batch_counts_once():
    counts = moves.Counts(new_bad=1)
    observations = tuple(
        moves.Observation(moves.Signal.ERRORS, "r", 0.01, counts, (name,))
        for name in ("n1", "n2")
    )
    batch = moves.EvidenceBatch("b", "x", 1, "p", "m1", observations)
    daemon = Daemon(names=("a", "b"))
    daemon.tick(1)
    for _ in range(10):
        daemon.manager.handle(batch, HOUR_S)
    daemon.tick(1.1)
    assert daemon.status().state is not moves.MoveState.TAKEN_BACK
    for seq in range(2, 5):
        later = dataclasses.replace(batch, seq=seq)
        daemon.manager.handle(later, HOUR_S)
    daemon.tick(1.2)
    assert daemon.status().state is moves.MoveState.TAKEN_BACK


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.floats(0, 2),
            st.sampled_from(["n1", "n2", "o1", "o2"]),
            st.sampled_from(list(moves.Result)),
            st.one_of(st.none(), st.floats(0.01, 5)),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_shares_are_shares_and_verdicts_are_final(steps):
    # Guards against a share outside 0 to 1 and a share above 0 after a verdict.
    daemon = Daemon()
    hours, condemned = 0.0, False
    for elapsed, name, result, first_s, pauses in steps:
        hours += elapsed
        daemon.end_request(hours, name, result, first_token_s=first_s)
        daemon.set_move(dataclasses.replace(MOVE, paused=pauses))
        share = daemon.tick(hours)
        assert 0.0 <= share <= 1.0
        condemned = condemned or len(daemon.manager.verdicts) > 0
        assert not condemned or share == 0.0
