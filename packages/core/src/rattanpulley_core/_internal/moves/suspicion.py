"""Holding the share while evidence against the new version builds up.

The share is not lowered far: a fault that shows only under load would vanish
and the suspicion would fade. Above one half a bad request tells little, since
few requests are left to compare with, so a larger share goes back to it.
"""

import math

from rattanpulley_core._internal.moves import evidence

MAX_SUSPICION_SHARE = 0.5
# Evidence that starts a suspicion; odds of 20 to 1.
START_LOG = math.log(20.0)
# Evidence below which a suspicion has faded.
END_LOG = 1.0
# Evidence above which a suspicion does not end with time; odds of 100 to 1.
STRONG_LOG = math.log(100.0)
# A weaker suspicion without new evidence ends after this part of the window, so
# that chance does not hold up a good version until its date.
HOLD_PART = 0.1
# Evidence above the former peak that renews a suspicion which has ended so.
RENEW_LOG = 1.0
_MIN_BAD_REQUESTS = 2


class Suspicion:
    """Whether the evidence is suspicious.

    Attributes:
        is_active: Whether the share is to be small.
        text: The evidence for people.
    """

    def __init__(self) -> None:
        self.is_active = False
        self.text = ""
        self._peak_log = START_LOG - RENEW_LOG
        self._since_s = 0.0

    def update(
        self, finding: evidence.Finding | None, wall_s: float, span_s: float
    ) -> None:
        """Takes the strongest evidence.

        Args:
            finding: The strongest evidence, or None.
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
            self.is_active = self.is_active and held_s <= HOLD_PART * span_s
