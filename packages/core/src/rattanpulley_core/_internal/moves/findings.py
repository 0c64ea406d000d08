"""Findings of the comparison of two versions."""

import dataclasses

from rattanpulley_core._internal.moves import messages

# Name of the test over all routes together, which needs fewer bad requests when
# every route is affected. It is not a valid name of a route.
ALL_ROUTES = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Strength of the evidence of one test against the new version.

    Attributes:
        signal: Signal that the test compares.
        route: Name of the route, or `ALL_ROUTES`.
        log_capital: Natural logarithm of the test's capital.
        threshold: Value of `log_capital` from which the evidence is conclusive.
        counts: Observations of the test.
        is_conclusive: Whether the evidence is sufficient for a verdict.
    """

    signal: messages.Signal
    route: str
    log_capital: float
    threshold: float
    counts: messages.Counts
    is_conclusive: bool

    def describe(self) -> str:
        """Returns a description for operators."""
        c = self.counts
        place = f"route {self.route}"
        if self.route == ALL_ROUTES:
            place = "all routes"
        return (
            f"{self.signal.value} on {place}: new version"
            f" {c.new_bad} of {c.new_bad + c.new_ok}, old version"
            f" {c.old_bad} of {c.old_bad + c.old_ok}; log evidence"
            f" {self.log_capital:.1f}, threshold {self.threshold:.1f}"
        )
