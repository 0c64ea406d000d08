"""Load and speed that targets report, and how long a report is trusted.

A report is as old as the last answer of its target. The number of requests in
it and the speed of the machine change several times a second, so that both lose
their weight with age.
"""

import dataclasses
import math
import re

# A count of 18 digits fits 64 bits; longer ones make the header malformed.
_COUNT = re.compile(r"[0-9]{1,18}", re.ASCII)
# Running requests, waiting requests and slots.
_REQUIRED_FIGURES = 3
# The value of the fourth figure of a machine at its normal speed.
NORMAL_PERCENT = 100
# Bounds of the slowness that is trusted. Targets are between 0.6 and 1.6, and
# up to 2.5 times that for a short time; figures beyond are errors.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0
# Time after which a reported number of requests has lost half of its weight.
# Plain requests take tens of milliseconds, so that older ones have ended.
WORK_HALF_LIFE_S = 0.05
# Time after which a deviation from the usual slowness of the target has lost
# half of its weight. Targets are slower for about 0.6 s at a time.
RECENT_HALF_LIFE_S = 0.3
# Time after which the usual slowness of a silent target is half forgotten. One
# of 70 hosts gets a report of each target about every two seconds; a half-life
# of 5 s takes slow targets for normal ones too soon.
USUAL_HALF_LIFE_S = 20.0
# Greatest share of one report in the usual slowness: it may be from a moment in
# which the target is slower. With 0.5, a host without other requests leaves a
# target alone for 12 s after one such report.
MAX_REPORT_SHARE = 0.3
# Age after which a target counts as one that does not report its slowness.
MAX_AGE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a target reports in an answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot.
        slots: Requests that it can run at a time.
        slowness: How long work takes, relative to a normal machine, within
            the trusted bounds; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests that run or wait."""
        return self.running + self.waiting


def parse_reported_load(text: str | None) -> ReportedLoad | None:
    """Returns the load in the value of a header, or None if it is malformed.

    Figures after the fourth are ignored.

    Args:
        text: Figures separated by commas, or None.
    """
    parts = [part.strip() for part in (text or "").split(",")]
    figures = parts[: _REQUIRED_FIGURES + 1]
    if len(figures) < _REQUIRED_FIGURES or not all(
        _COUNT.fullmatch(figure) for figure in figures
    ):
        return None
    running, waiting, slots, *percents = map(int, figures)
    slowness = None
    if percents:
        slowness = percents[0] / NORMAL_PERCENT
        slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
    return ReportedLoad(running, waiting, slots, slowness)


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """Estimate of the slowness of one target, from its reports.

    The estimate starts at the last report, returns to the usual slowness of the
    target within a second or two, and to normal within a minute.

    Attributes:
        recent: The last report.
        usual: Average of the reports; recent ones have more weight.
        at_s: Time of the last report.
    """

    recent: float = 1.0
    usual: float = 1.0
    at_s: float = float("-inf")

    def is_known(self, now_s: float) -> bool:
        """Returns whether the last report is recent enough to be used."""
        return now_s - self.at_s < MAX_AGE_S

    def estimate(self, now_s: float) -> float:
        """Returns the slowness that is expected now."""
        usual = self._usual(now_s)
        weight = _remaining(now_s - self.at_s, RECENT_HALF_LIFE_S)
        return usual + (self.recent - usual) * weight

    def updated(self, slowness: float, now_s: float) -> "Slowness":
        """Returns the estimate after another report.

        Reports in quick succession are from the same moment, and count as one
        in the average.

        Args:
            slowness: The reported slowness.
            now_s: Time of the report.
        """
        usual = self._usual(now_s)
        share = 1.0 - _remaining(now_s - self.at_s, RECENT_HALF_LIFE_S)
        share = min(share, MAX_REPORT_SHARE)
        return Slowness(slowness, usual + (slowness - usual) * share, now_s)

    def _usual(self, now_s: float) -> float:
        weight = _remaining(now_s - self.at_s, USUAL_HALF_LIFE_S)
        return 1.0 + (self.usual - 1.0) * weight


UNKNOWN_SLOWNESS = Slowness()


def expected_work(
    reported: int, age_s: float, sent_since: int, own: int
) -> float:
    """Returns the expected number of requests in progress at a target.

    Args:
        reported: Number in the last report.
        age_s: Age of the report.
        sent_since: Own requests that were sent after it and are running.
        own: All own requests that are running.
    """
    remaining = reported * _remaining(age_s, WORK_HALF_LIFE_S)
    return max(float(own), remaining + sent_since)


def finish_time(work: float, slowness: float, slots: int) -> float:
    """Returns the expected time to the finish of one more request.

    Args:
        work: Requests in progress at the target.
        slowness: How long work takes there, relative to normal.
        slots: Slots of the target.
    """
    return (work + 1.0) * slowness / max(1, slots)


def _remaining(age_s: float, half_life_s: float) -> float:
    """Returns the share of a value that is left after its decay."""
    return math.pow(0.5, max(0.0, age_s) / half_life_s)
