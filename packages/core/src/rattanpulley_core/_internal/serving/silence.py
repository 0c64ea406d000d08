"""Decides when a request may leave a target that is silent.

A sound target may send nothing for a second and then go on. Leaving it uses up
an attempt of the request, so silence alone must never leave a request without
one: it would end although a target still works on it.
"""

import dataclasses

# A longer silence than that of any sound target, which also uses the attempt
# that is kept for a loss.
LONG_SILENCE_S = 4.0
# Requests that leave one target within this time saw the same silence.
SAME_SILENCE_S = 2.0


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
        if silent_s >= LONG_SILENCE_S:
            return attempts_left >= 1
        rule = DEPARTURE_RULES[min(self._departures, len(DEPARTURE_RULES) - 1)]
        return (
            silent_s >= rule.min_silence_s
            and attempts_left >= rule.min_attempts_left
        )

    def record(self) -> None:
        """Records that the request leaves its target."""
        self._departures += 1


class TargetSilences:
    """When requests last left each target because it was silent."""

    def __init__(self) -> None:
        self._left_at_s_by_id: dict[str, float] = {}

    def is_new(self, target_id: str, now_s: float) -> bool:
        """Records a departure; returns whether it is the first of its silence.

        All requests on a target see the same silence, which is one observation
        of its version, not many.
        """
        self._left_at_s_by_id = {
            known_id: at_s
            for known_id, at_s in self._left_at_s_by_id.items()
            if now_s - at_s < SAME_SILENCE_S
        }
        is_new = target_id not in self._left_at_s_by_id
        if is_new:
            self._left_at_s_by_id[target_id] = now_s
        return is_new
