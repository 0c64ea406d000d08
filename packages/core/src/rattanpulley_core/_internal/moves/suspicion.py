"""Limits the share while evidence against the new version accumulates.

The share is not reduced below one half: a fault that occurs only under load
would disappear and the evidence would decay. Above one half a bad request gives
little evidence, since few requests of the old version are left to compare with,
so a larger share is reduced to one half.
"""

import math

from rattanpulley_core._internal.moves import findings

MAX_SUSPICION_SHARE = 0.5
# Log evidence that starts a suspicion: odds of 20 to 1.
START_LOG = math.log(20.0)
# Log evidence below which a suspicion ends.
END_LOG = 1.0
# Log evidence above which a suspicion has no time limit: odds of 100 to 1.
STRONG_LOG = math.log(100.0)
# A weaker suspicion without new evidence ends after this fraction of the
# window, so that random evidence does not delay a good version until its
# deadline.
HOLD_FRACTION = 0.1
# Increase over the previous peak that restarts a suspicion that has timed out.
RENEW_LOG = 1.0
_MIN_BAD_REQUESTS = 2


class Suspicion:
    """State of a suspicion against the new version.

    Attributes:
        is_active: Whether the share is limited to `MAX_SUSPICION_SHARE`.
        text: Description of the evidence for operators.
    """

    def __init__(self) -> None:
        self.is_active = False
        self.text = ""
        self._peak_log = START_LOG - RENEW_LOG
        self._since_s = 0.0

    def update(
        self, finding: findings.Finding | None, wall_s: float, span_s: float
    ) -> None:
        """Updates the state from the strongest evidence.

        Args:
            finding: Finding with the strongest evidence, or None.
            wall_s: Unix seconds.
            span_s: Length of the window in seconds.
        """
        if finding is None:
            return
        log = finding.log_capital
        is_new = log >= self._peak_log + RENEW_LOG
        if is_new and finding.counts.new_bad >= _MIN_BAD_REQUESTS:
            self.is_active = True
            self.text = finding.describe()
            self._peak_log = log
            self._since_s = wall_s
        elif log < END_LOG:
            self.is_active = False
            self._peak_log = START_LOG - RENEW_LOG
        elif log < STRONG_LOG:
            held_s = wall_s - self._since_s
            self.is_active = self.is_active and held_s <= HOLD_FRACTION * span_s
