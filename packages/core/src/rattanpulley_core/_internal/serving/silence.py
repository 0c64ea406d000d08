"""Decides when a request may leave a target that is silent.

A sound target may send nothing for a second and then go on. Leaving it uses up
an attempt of the request, so silence alone must never leave a request without
one: it would end although a target still works on it.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureRule:
    """When a request may leave a silent target.

    Attributes:
        min_silence_s: Shortest silence after which it may leave, in seconds.
        min_attempts_left: Attempts that must remain after the current one.
    """

    min_silence_s: float
    min_attempts_left: int


# One rule for each departure of a request; the last one holds for all further
# ones. A second departure keeps an attempt for a target that is really lost,
# and a third one waits longer than sound targets are silent.
DEPARTURE_RULES = (
    DepartureRule(0.0, 1),
    DepartureRule(0.4, 2),
    DepartureRule(1.6, 2),
)


class SilenceDepartures:
    """The departures of one request from silent targets."""

    def __init__(self) -> None:
        self._departures = 0

    def may_leave(self, silent_s: float, attempts_left: int) -> bool:
        """Returns whether the request may leave its target.

        Args:
            silent_s: Seconds since the target has sent anything.
            attempts_left: Attempts that remain after the current one.
        """
        rule = DEPARTURE_RULES[min(self._departures, len(DEPARTURE_RULES) - 1)]
        return (
            silent_s >= rule.min_silence_s
            and attempts_left >= rule.min_attempts_left
        )

    def record(self) -> None:
        """Records that the request leaves its target."""
        self._departures += 1
