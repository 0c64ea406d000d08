"""Points of runs at which prompts crash targets, and answers that pass them.

What crashes targets does so at about the same point of each run, by one of the
measures here. An answer that goes on beyond that point refutes the crash by
that measure; a crash that is refuted by all of them is cleared.
"""

import abc
import dataclasses
from typing import ClassVar

from rattanpulley_core._internal.suspects import reports

# Events arrive several at a time, and targets differ in speed.
WIDTH_EVENTS = 4
WIDTH_SHARE = 0.1
WIDTH_S = 0.3
# Events past the point of a crash at which an answer refutes it.
PASSED_AFTER_EVENTS = 6
PASSED_AFTER_S = 0.5
# Hosts see the end of one target at slightly different times, and round the
# times that they exchange.
SEEN_WITHIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class SoundAnswer:
    """An answer that a target is writing, or has written.

    Attributes:
        began_s: When the request was sent to the target.
        ran_s: Seconds since then.
        events: Events of the answer so far, without those of earlier attempts.
        writing_s: Seconds since the first of these events; 0 before it.
        base_id: Id of the last event of earlier attempts; 0 if the target has
            written the answer from its beginning.
        is_complete: Whether it is complete.
    """

    began_s: float
    ran_s: float
    events: int
    writing_s: float = 0.0
    base_id: int = 0
    is_complete: bool = False


class Measure(abc.ABC):
    """A measure of how far a run has come.

    Attributes:
        error: How far reports of several hosts on one crash may differ.
    """

    error: ClassVar[float] = 0.0

    @abc.abstractmethod
    def point_of(self, run: reports.CrashedRun) -> float | None:
        """Returns the point of a run at its crash, or None if unknown."""

    @abc.abstractmethod
    def width_at(self, point: float) -> float:
        """Returns how far apart crashes at the same point may lie."""

    @abc.abstractmethod
    def has_passed(self, answer: SoundAnswer, point: float) -> bool:
        """Returns whether an answer has passed a point."""


class AttemptEvents(Measure):
    """Events of the attempt."""

    def point_of(self, run: reports.CrashedRun) -> float:
        """Returns the number of events at the crash."""
        return run.tokens

    def width_at(self, point: float) -> float:
        """Returns the width in events."""
        return WIDTH_EVENTS + WIDTH_SHARE * point

    def has_passed(self, answer: SoundAnswer, point: float) -> bool:
        """Returns whether the attempt has more events."""
        return answer.events >= point + _margin(answer)


class StreamEvents(Measure):
    """Events of the stream, those of earlier attempts included."""

    def point_of(self, run: reports.CrashedRun) -> float:
        """Returns the id of the last event at the crash."""
        return max(run.position, run.tokens)

    def width_at(self, point: float) -> float:
        """Returns the width in events."""
        return WIDTH_EVENTS + WIDTH_SHARE * point

    def has_passed(self, answer: SoundAnswer, point: float) -> bool:
        """Returns whether the target itself has written beyond the point."""
        if answer.base_id and answer.base_id >= point:
            return False
        return answer.base_id + answer.events >= point + _margin(answer)


class RunTime(Measure):
    """Seconds since the request was sent to the target."""

    error = SEEN_WITHIN_S

    def point_of(self, run: reports.CrashedRun) -> float:
        """Returns the seconds until the crash."""
        return run.crashed_s - run.started_s

    def width_at(self, point: float) -> float:
        """Returns the width in seconds."""
        del point
        return WIDTH_S

    def has_passed(self, answer: SoundAnswer, point: float) -> bool:
        """Returns whether the answer is complete, or goes on later."""
        if not answer.events and not answer.is_complete:
            return False
        return answer.is_complete or answer.ran_s >= point + PASSED_AFTER_S


class WritingTime(Measure):
    """Seconds since the first event of the attempt."""

    error = SEEN_WITHIN_S

    def point_of(self, run: reports.CrashedRun) -> float | None:
        """Returns the seconds from the first event to the crash.

        Hosts of earlier versions do not tell it.
        """
        if run.tokens and not run.writing_s:
            return None
        return run.writing_s

    def width_at(self, point: float) -> float:
        """Returns the width in seconds."""
        del point
        return WIDTH_S

    def has_passed(self, answer: SoundAnswer, point: float) -> bool:
        """Returns whether the answer is complete, or goes on later."""
        margin_s = 0.0 if answer.is_complete else PASSED_AFTER_S
        return answer.events > 0 and answer.writing_s >= point + margin_s


def _margin(answer: SoundAnswer) -> int:
    return 0 if answer.is_complete else PASSED_AFTER_EVENTS


MEASURES: tuple[Measure, ...] = (
    AttemptEvents(),
    StreamEvents(),
    RunTime(),
    WritingTime(),
)
ALL_REFUTED = (1 << len(MEASURES)) - 1


def refuted_by(answer: SoundAnswer, run: reports.CrashedRun) -> int:
    """Returns the measures by which an answer has passed a crash, as bits."""
    return sum(
        1 << number
        for number, measure in enumerate(MEASURES)
        if _has_passed(measure, answer, run)
    )


def _has_passed(
    measure: Measure, answer: SoundAnswer, run: reports.CrashedRun
) -> bool:
    point = measure.point_of(run)
    return point is None or measure.has_passed(answer, point)


def covered_by(report: reports.CrashedRun, run: reports.CrashedRun) -> int:
    """Returns the measures by which one run had come as far as another."""
    return sum(
        1 << number
        for number, measure in enumerate(MEASURES)
        if _covers(measure, report, run)
    )


def _covers(
    measure: Measure, report: reports.CrashedRun, run: reports.CrashedRun
) -> bool:
    point = measure.point_of(run)
    reported = measure.point_of(report)
    if point is None:
        return True
    return reported is not None and reported + measure.error >= point
