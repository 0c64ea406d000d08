"""Deduplication of crashes that have a common cause."""

from rattanpulley_core._internal.moves import messages

# Crashes in one failure domain within this time count as one event: the loss
# of a rack or switch takes down several targets, each target ends many
# requests, and every daemon observes all of them.
SAME_EVENT_S = 5.0
# Event times kept per failure domain. Reports of peers arrive late, so the
# latest event alone is not sufficient.
_MAX_EVENTS_PER_DOMAIN = 32


class CrashFilter:
    """Distinguishes new crash events from repeated reports of known ones."""

    def __init__(self) -> None:
        self._event_times_by_domain: dict[str, list[float]] = {}

    def is_new_event(self, crash: messages.CrashEvent) -> bool:
        """Returns whether the domain has no known event within `SAME_EVENT_S`.

        A new event is stored.
        """
        times_s = self._event_times_by_domain.setdefault(
            crash.failure_domain, []
        )
        if any(abs(crash.wall_s - wall) < SAME_EVENT_S for wall in times_s):
            return False
        times_s.append(crash.wall_s)
        del times_s[:-_MAX_EVENTS_PER_DOMAIN]
        return True
