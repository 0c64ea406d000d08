"""Counting of crashes that have one cause as one."""

from rattanpulley_core._internal.moves import messages

# Crashes in one failure domain within this time count as one event: the loss
# of a rack or switch takes several targets, each target many requests, and
# each daemon sees all of them.
SAME_EVENT_S = 5.0
# Remembered events per failure domain. Reports of peers arrive late, so the
# newest event alone would not do.
_MEMORY = 32


class CrashFilter:
    """Tells new crash events from further reports of known ones."""

    def __init__(self) -> None:
        self._walls_by_domain: dict[str, list[float]] = {}

    def is_new_event(self, crash: messages.CrashEvent) -> bool:
        """Returns whether no event of the domain is close in time."""
        walls = self._walls_by_domain.setdefault(crash.failure_domain, [])
        if any(abs(crash.wall_s - wall) < SAME_EVENT_S for wall in walls):
            return False
        walls.append(crash.wall_s)
        del walls[:-_MEMORY]
        return True
