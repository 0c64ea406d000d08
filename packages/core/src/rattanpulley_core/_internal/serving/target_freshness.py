"""How recent a host's targets must be, and when it reads them again.

The store acknowledges that a target leaves; from `leave_s` later on, no request
may reach it. A host learns of it from the store or from another host, whose
state has an age. Until its next read has returned, a host uses what it knows.
So the age of its state at the start of each read, the longest time that the
read takes, and the time in which a request reaches its target must add up to
`leave_s` or less, however many hosts the state has passed through.
"""

import dataclasses

# One host that does not answer, and then the store.
READ_ROUND_S = 0.35
# From the choice of a target until the request has reached it.
SEND_MARGIN_S = 0.2
# Shortest time between two reads.
MIN_PAUSE_S = 0.1
# A change of any target ends a watch. The next one starts after this fraction
# of `leave_s`, so that it returns several changes at once.
PAUSE_FRACTION = 0.35
MAX_PAUSE_S = 1.0
# Members of a domain learn of a change one pause after their leader.
LEADER_PAUSE_FRACTION = 0.15
MAX_LEADER_PAUSE_S = 0.5
# A watch confirms the state as of its sending, so that the age that other hosts
# receive is up to two waits.
SHARED_WATCH_FRACTION = 0.25
MAX_SHARED_WATCH_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFreshness:
    """Times of the refresh of targets, in seconds.

    Attributes:
        leave_s: Time in which a leaving target must be left.
    """

    leave_s: float

    @property
    def limit_s(self) -> float:
        """Greatest age of the targets at which a read starts."""
        return max(0.0, self.leave_s - READ_ROUND_S - SEND_MARGIN_S)

    @property
    def max_age_s(self) -> float:
        """Greatest age of targets that are used until another read."""
        return max(0.0, self.limit_s - MIN_PAUSE_S)

    @property
    def shared_watch_s(self) -> float:
        """Longest watch of a host on whose state others rely."""
        return min(self.leave_s * SHARED_WATCH_FRACTION, MAX_SHARED_WATCH_S)

    @property
    def pause_s(self) -> float:
        """Time between the starts of two reads."""
        return min(self.leave_s * PAUSE_FRACTION, MAX_PAUSE_S)

    @property
    def leader_pause_s(self) -> float:
        """Time between the starts of two reads of the leader of a domain."""
        return min(self.leave_s * LEADER_PAUSE_FRACTION, MAX_LEADER_PAUSE_S)

    def next_read_in_s(
        self, pause_s: float, since_start_s: float, age_s: float
    ) -> float:
        """Returns how long to wait after a read.

        Args:
            pause_s: Time between the starts of two reads.
            since_start_s: Time since the start of the last one.
            age_s: Age of the targets.
        """
        until_due_s = min(pause_s - since_start_s, self.limit_s - age_s)
        return max(0.0, MIN_PAUSE_S - since_start_s, until_due_s)
