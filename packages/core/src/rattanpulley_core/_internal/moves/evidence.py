"""Evidence of one daemon and its peers on one move."""

from collections.abc import Iterator
import math

from rattanpulley_core._internal.moves import crashes
from rattanpulley_core._internal.moves import findings
from rattanpulley_core._internal.moves import latency
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import sequential_test
from rattanpulley_core._internal.moves import strata
from rattanpulley_core._internal.moves import tallies
from rattanpulley_core._internal.tables import rows

# Probability that a move to a version that is no worse is ever taken back. It
# is divided by the number of signals, of routes plus one for all routes
# together, and of daemons (Bonferroni correction), since each of them may give
# a verdict.
FALSE_ALARM_RATE = 0.005
# Minimum of bad requests for a verdict, whatever the assumed rates are.
MIN_BAD_REQUESTS = 3


class MoveEvidence:
    """Collects observations and tests the new version against the old one.

    Attributes:
        new_requests: Observed requests of the new version.
        expected_requests: Expected number of requests of the new version, the
            sum of the shares.
        uncompared_errors: Errors of the new version at a share of 1.
        new_version_succeeded: Whether a request of the new version has
            succeeded at this daemon, or at a peer while both were compared.
    """

    def __init__(
        self,
        pool: rows.Pool,
        move: rows.Move,
        route_count: int,
        daemon_count: int,
    ) -> None:
        self._strongest_finding: findings.Finding | None = None
        self._is_stale = False
        self.new_requests = 0
        self.expected_requests = 0.0
        self.uncompared_errors = 0
        self.new_version_succeeded = False
        self.update_plan(pool, move, route_count, daemon_count)
        self._crashes = crashes.CrashFilter()
        self._progress = 0.0
        self._thresholds: dict[
            tuple[messages.Signal, str], latency.SlowThreshold
        ] = {}
        self._tests: dict[
            tuple[messages.Signal, str], sequential_test.SequentialTest
        ] = {}
        self._bad_targets: dict[tuple[messages.Signal, str], set[str]] = {}
        self._pending: dict[
            tuple[messages.Signal, str, str], tallies.Tally
        ] = {}
        self._unpublished: dict[tuple[messages.Signal, str], tallies.Tally] = {}
        self._unpublished_crashes: list[messages.Observation] = []

    def update_plan(
        self,
        pool: rows.Pool,
        move: rows.Move,
        route_count: int,
        daemon_count: int,
    ) -> None:
        """Applies a changed row of the same move and keeps the evidence."""
        tests = len(messages.Signal) * (route_count + 1)
        tests *= max(1, daemon_count)
        self.threshold = math.log(tests / FALSE_ALARM_RATE)
        self._is_stale = True
        self._move = move
        self._strata = strata.Strata(pool, move)
        self._target_count = sum(
            target.version == move.to_version
            for target in pool.targets_by_name.values()
        )

    def observe(self, ended: messages.RequestEnded, wall_s: float) -> None:
        """Adds a request of this daemon; ignores versions outside the move."""
        is_new = ended.version == self._move.to_version
        if not is_new and ended.version != self._move.from_version:
            return
        if is_new and ended.result is messages.Result.OK:
            self.new_version_succeeded = True
        if not 0.0 < ended.share < 1.0:
            is_error = ended.result is messages.Result.ERROR
            self.uncompared_errors += is_new and is_error
            return
        share = self._strata.share(
            ended.route, ended.failure_domain, ended.share
        )
        for signal, is_bad in self._evaluate_signals(ended, is_new):
            if share is not None:
                self._tally(signal, ended, share, is_new, is_bad)
        if ended.result is messages.Result.CRASH and share is not None:
            self._observe_crash(ended, is_new, share, wall_s)
        self._strata.record(
            ended.route, ended.failure_domain, ended.share, is_new
        )
        self.expected_requests += ended.share

    def apply_pending(self, progress: float) -> None:
        """Applies this daemon's observations since the last call.

        Args:
            progress: Elapsed fraction of the move's window, 0 to 1.
        """
        self._progress = progress
        for test in self._tests.values():
            test.invest_until(progress)
        pending, self._pending = self._pending, {}
        for (signal, route, _), tally in pending.items():
            observation = tally.observation(signal, route)
            self._apply(observation)
            self._unpublished.setdefault(
                (signal, route), tallies.Tally()
            ).add_all(observation)

    def apply_peer(self, batch: messages.EvidenceBatch) -> None:
        """Applies a batch of a peer; the caller drops duplicate batches."""
        for observation in batch.observations:
            crash = observation.crash
            if crash is None or self._crashes.is_new_event(crash):
                self._apply(observation)

    def pop_unpublished(self) -> tuple[messages.Observation, ...]:
        """Returns and removes the observations not yet published to peers."""
        unpublished, self._unpublished = self._unpublished, {}
        crash_rows, self._unpublished_crashes = self._unpublished_crashes, []
        merged = [
            tally.observation(signal, route)
            for (signal, route), tally in unpublished.items()
        ]
        return (*merged, *crash_rows)

    def strongest_finding(self) -> findings.Finding | None:
        """Returns the finding with the strongest evidence.

        None before any request is observed.
        """
        if self._is_stale:
            self._is_stale = False
            self._strongest_finding = max(
                (self._finding(key) for key in self._tests),
                key=lambda f: (f.is_conclusive, f.log_capital),
                default=None,
            )
        return self._strongest_finding

    def _tally(
        self,
        signal: messages.Signal,
        ended: messages.RequestEnded,
        share: float,
        is_new: bool,
        is_bad: bool,
    ) -> None:
        key = (signal, ended.route, ended.failure_domain)
        tally = self._pending.setdefault(key, tallies.Tally())
        tally.add(share, is_new, is_bad)
        if is_new and is_bad:
            tally.bad_targets.add(ended.target)

    def _evaluate_signals(
        self, ended: messages.RequestEnded, is_new: bool
    ) -> Iterator[tuple[messages.Signal, bool]]:
        """Yields each signal of a request and whether its value is bad."""
        if ended.result is not messages.Result.CRASH:
            is_error = ended.result is messages.Result.ERROR
            yield messages.Signal.ERRORS, is_error
            yield messages.Signal.CRASHES, False
        times = (
            (messages.Signal.FIRST_TOKEN, ended.first_token_s),
            (messages.Signal.TOKEN_INTERVAL, ended.token_interval_s),
        )
        for signal, value_s in times:
            if value_s is None:
                continue
            threshold = self._thresholds.setdefault(
                (signal, ended.route), latency.SlowThreshold()
            )
            is_slow = threshold.is_slow(value_s, is_new)
            if is_slow is not None:
                yield signal, is_slow
            if not is_new:
                threshold.add_sample(value_s)

    def _observe_crash(
        self,
        ended: messages.RequestEnded,
        is_new: bool,
        share: float,
        wall_s: float,
    ) -> None:
        crash = messages.CrashEvent(
            ended.failure_domain, ended.target, is_new, wall_s
        )
        if not self._crashes.is_new_event(crash):
            return
        observation = messages.Observation(
            signal=messages.Signal.CRASHES,
            route=ended.route,
            share=share,
            counts=messages.Counts(
                new_bad=int(is_new), old_bad=int(not is_new)
            ),
            bad_targets=(ended.target,) if is_new else (),
            crash=crash,
        )
        self._apply(observation)
        self._unpublished_crashes.append(observation)

    def _apply(self, observation: messages.Observation) -> None:
        for route in (observation.route, findings.ALL_ROUTES):
            self._apply_to((observation.signal, route), observation)
        if observation.signal is messages.Signal.ERRORS:
            counts = observation.counts
            self.new_requests += counts.new_ok + counts.new_bad
            if counts.new_ok:
                self.new_version_succeeded = True

    def _apply_to(
        self,
        key: tuple[messages.Signal, str],
        observation: messages.Observation,
    ) -> None:
        test = self._tests.get(key)
        if test is None:
            test = sequential_test.SequentialTest(observation.signal)
            test.invest_until(self._progress)
            self._tests[key] = test
        self._is_stale = True
        test.update(observation.counts, observation.share)
        self._bad_targets.setdefault(key, set()).update(observation.bad_targets)

    def _finding(self, key: tuple[messages.Signal, str]) -> findings.Finding:
        test = self._tests[key]
        # A single bad target indicates a fault of that target, which the daemon
        # ejects.
        needed_targets = min(2, self._target_count)
        is_conclusive = (
            test.log_capital >= self.threshold
            and test.counts.new_bad >= MIN_BAD_REQUESTS
            and len(self._bad_targets[key]) >= needed_targets
        )
        return findings.Finding(
            key[0],
            key[1],
            test.log_capital,
            self.threshold,
            test.counts,
            is_conclusive,
        )
