"""A sequential test of whether the new version is worse than the old one.

The test is a betting process (an e-process). Each request is sent to the new
version at random with a known probability `s`, so under the null hypothesis
that both versions are equal, the version of a request is independent of its
outcome. With `po` and `pn` as assumed rates of bad outcomes of the old and the
new version and `pm = s pn + (1 - s) po`, the factor

    e = p(outcome | version) / p(outcome),   with p(bad) = pm,

has the expectation 1 under the null hypothesis for every true rate of bad
outcomes, including one that changes with time. A failure of both versions
therefore gives no evidence. The product of the factors is a martingale that
starts at 1, and the probability that it ever reaches `1 / alpha` is at most
`alpha` (Ville's inequality), however often it is evaluated.

The rate `pn` is unknown, so the capital is divided among several rates. A fault
may start late, so a fraction of the capital is reserved and invested over time
(a mixture over the time of the change); the total investment never exceeds 1.
"""

import dataclasses
import math

from rattanpulley_core._internal.moves import messages

# Alternatives that the test bets on: multiples of the old version's odds, and
# rates. A new version with less than about twice the odds of the old one is
# closer to the null hypothesis than to any alternative, so small differences
# are deliberately not detected.
_ODDS_FACTORS = (4.0, 20.0)
_RATES = (0.3, 0.9)
# Weight of the assumed rate, in observations of the old version.
_PRIOR_COUNT = 20.0
# Observations of the old version over which its observed rate is averaged.
_MEMORY_COUNT = 2000.0
# Fraction of the capital invested at the start; the rest follows over the move.
_INITIAL_WEIGHT = 0.5
# Smallest fraction of the capital that is invested in one step.
_MIN_INVESTMENT = 0.002
_MAX_OLD_RATE = 0.5
_MAX_RATE = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class Prior:
    """Prior of the old version's rate of bad outcomes.

    Attributes:
        rate: Assumed rate of bad outcomes.
        floor: Smallest rate that the test uses. It limits the weight of a
            single bad outcome.
    """

    rate: float
    floor: float


PRIORS_BY_SIGNAL = {
    messages.Signal.ERRORS: Prior(0.01, 0.002),
    messages.Signal.CRASHES: Prior(0.003, 0.001),
    messages.Signal.FIRST_TOKEN: Prior(0.1, 0.05),
    messages.Signal.TOKEN_INTERVAL: Prior(0.1, 0.05),
}


class SequentialTest:
    """Evidence against the new version from one signal on one route.

    Attributes:
        counts: All observations so far.
    """

    def __init__(self, signal: messages.Signal) -> None:
        self.counts = messages.Counts()
        self._prior = PRIORS_BY_SIGNAL[signal]
        self._old_bad = 0.0
        self._old_count = 0.0
        number = len(_ODDS_FACTORS) + len(_RATES)
        self._log_capitals = [math.log(_INITIAL_WEIGHT)] * number
        self._invested = _INITIAL_WEIGHT

    @property
    def log_capital(self) -> float:
        """Natural logarithm of the capital, which is the evidence."""
        mean = _log_sum(self._log_capitals) - math.log(len(self._log_capitals))
        uninvested = 1.0 - self._invested
        if uninvested <= 0:
            return mean
        return _log_sum([mean, math.log(uninvested)])

    def invest_until(self, progress: float) -> None:
        """Invests the capital that is due at a fraction of the move.

        Args:
            progress: Elapsed fraction of the move's window, 0 to 1.
        """
        target = _INITIAL_WEIGHT + (1 - _INITIAL_WEIGHT) * min(progress, 1.0)
        added = target - self._invested
        if added < _MIN_INVESTMENT:
            return
        self._invested = target
        self._log_capitals = [
            _log_sum([capital, math.log(added)])
            for capital in self._log_capitals
        ]

    def update(self, counts: messages.Counts, share: float) -> None:
        """Adds observations.

        Args:
            counts: Numbers of observations.
            share: Probability with which each was sent to the new version;
                outside of 0 to 1 (exclusive) there is nothing to compare.
        """
        old_rate = self._old_rate()
        if 0.0 < share < 1.0:
            for index, new_rate in enumerate(_new_rates(old_rate)):
                self._log_capitals[index] += _log_factor(
                    counts, share, old_rate, new_rate
                )
        self._record(counts)

    def _old_rate(self) -> float:
        bad = self._old_bad + self._prior.rate * _PRIOR_COUNT
        rate = bad / (self._old_count + _PRIOR_COUNT)
        return min(max(rate, self._prior.floor), _MAX_OLD_RATE)

    def _record(self, counts: messages.Counts) -> None:
        added = counts.old_ok + counts.old_bad
        kept = max(0.0, 1.0 - added / _MEMORY_COUNT)
        self._old_bad = self._old_bad * kept + counts.old_bad
        self._old_count = self._old_count * kept + added
        self.counts = messages.Counts(
            self.counts.new_ok + counts.new_ok,
            self.counts.new_bad + counts.new_bad,
            self.counts.old_ok + counts.old_ok,
            self.counts.old_bad + counts.old_bad,
        )


def _new_rates(old_rate: float) -> list[float]:
    odds = old_rate / (1 - old_rate)
    by_odds = [f * odds / (1 + f * odds) for f in _ODDS_FACTORS]
    # A rate below that of the smallest factor would bet on a difference that is
    # too small to matter.
    rates = [max(rate, by_odds[0]) for rate in _RATES]
    return [min(rate, _MAX_RATE) for rate in (*by_odds, *rates)]


def _log_factor(
    counts: messages.Counts, share: float, old_rate: float, new_rate: float
) -> float:
    mean = share * new_rate + (1 - share) * old_rate
    return (
        counts.new_bad * math.log(new_rate / mean)
        + counts.new_ok * math.log((1 - new_rate) / (1 - mean))
        + counts.old_bad * math.log(old_rate / mean)
        + counts.old_ok * math.log((1 - old_rate) / (1 - mean))
    )


def _log_sum(logs: list[float]) -> float:
    largest = max(logs)
    return largest + math.log(sum(math.exp(log - largest) for log in logs))
