"""A sequential test that one version is worse than the other.

The test is a betting process. Each request is given to the new version with a
known probability `s`, at random, so under the hypothesis that the version does
not matter the version of a request tells nothing about its outcome. With
`po` and `pn` as assumed rates of bad outcomes of the old and the new version
and `pm = s pn + (1 - s) po`, the factor

    e = p(outcome | version) / p(outcome),   with p(bad) = pm,

has the expectation 1 under the hypothesis for every true rate of bad outcomes,
also one that changes with time. A general failure therefore gives no evidence.
The product of the factors is a martingale that starts at 1, and the chance that
it ever reaches `1 / alpha` is at most `alpha` (Ville's inequality), however
often it is looked at.

The rate `pn` is not known, so the capital is spread over several rates. A
fault may begin late, so a part of the capital is held back and put in over
time (a mixture over the time of the change); the total put in never exceeds 1.
"""

import dataclasses
import math

from rattanpulley_core._internal.moves import messages

# Multiples of the old version's odds, and rates, that the test bets on. A new
# version with less than about twice the old one's odds is closer to the
# hypothesis than to any of them, so small differences are not found, on
# purpose.
_ODDS_FACTORS = (4.0, 20.0)
_RATES = (0.3, 0.9)
# Weight of the assumed rate against the observed rate of the old version.
_PRIOR_COUNT = 20.0
# Number of the old version's observations that the observed rate remembers.
_MEMORY_COUNT = 2000.0
# Part of the capital at the start; the rest is put in over the move.
_INITIAL_WEIGHT = 0.5
# Smallest part of the move for which capital is put in at once.
_MIN_PUT_IN = 0.002
_MAX_OLD_RATE = 0.5
_MAX_RATE = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class Assumption:
    """What is assumed of the old version before it is observed.

    Attributes:
        rate: Assumed rate of bad outcomes.
        floor: Smallest rate that the test uses. It limits how much a single
            bad outcome can count.
    """

    rate: float
    floor: float


ASSUMPTIONS_BY_SIGNAL = {
    messages.Signal.ERRORS: Assumption(0.01, 0.002),
    messages.Signal.CRASHES: Assumption(0.003, 0.001),
    messages.Signal.FIRST_TOKEN: Assumption(0.1, 0.05),
    messages.Signal.TOKEN_INTERVAL: Assumption(0.1, 0.05),
}


class SequentialTest:
    """Evidence against the new version on one route by one signal.

    Attributes:
        counts: All observations so far.
    """

    def __init__(self, signal: messages.Signal) -> None:
        self.counts = messages.Counts()
        self._assumption = ASSUMPTIONS_BY_SIGNAL[signal]
        self._old_bad = 0.0
        self._old_count = 0.0
        number = len(_ODDS_FACTORS) + len(_RATES)
        self._log_capitals = [math.log(_INITIAL_WEIGHT)] * number
        self._put_in = _INITIAL_WEIGHT

    @property
    def log_capital(self) -> float:
        """Natural logarithm of the capital; the evidence so far."""
        mean = _log_sum(self._log_capitals) - math.log(len(self._log_capitals))
        held_back = 1.0 - self._put_in
        if held_back <= 0:
            return mean
        return _log_sum([mean, math.log(held_back)])

    def invest_until(self, progress: float) -> None:
        """Puts the capital in that belongs to a part of the move.

        Args:
            progress: Part of the move's time that has passed, 0 to 1.
        """
        target = _INITIAL_WEIGHT + (1 - _INITIAL_WEIGHT) * min(progress, 1.0)
        added = target - self._put_in
        if added < _MIN_PUT_IN:
            return
        self._put_in = target
        self._log_capitals = [
            _log_sum([capital, math.log(added)])
            for capital in self._log_capitals
        ]

    def update(self, counts: messages.Counts, share: float) -> None:
        """Adds observations.

        Args:
            counts: The observations.
            share: Probability that each of them was of the new version.
        """
        old_rate = self._old_rate()
        if 0.0 < share < 1.0:
            for index, new_rate in enumerate(_new_rates(old_rate)):
                self._log_capitals[index] += _log_factor(
                    counts, share, old_rate, new_rate
                )
        self._remember(counts)

    def _old_rate(self) -> float:
        bad = self._old_bad + self._assumption.rate * _PRIOR_COUNT
        rate = bad / (self._old_count + _PRIOR_COUNT)
        return min(max(rate, self._assumption.floor), _MAX_OLD_RATE)

    def _remember(self, counts: messages.Counts) -> None:
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
    # A rate below that of the smallest factor would be a bet on a difference
    # that is not of interest.
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
