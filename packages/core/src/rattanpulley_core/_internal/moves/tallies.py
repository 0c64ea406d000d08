"""Sums of observations until they are applied or published."""

import dataclasses

from rattanpulley_core._internal.moves import messages


@dataclasses.dataclass(slots=True)
class Tally:
    """Accumulated observations that are not yet applied or published.

    Attributes:
        share_sum: Sum of the shares of new requests that the new version had
            when the version of each request was selected.
        count: Number of requests.
        new_ok: Number of good requests of the new version.
        new_bad: Number of bad requests of the new version.
        old_ok: Number of good requests of the old version.
        old_bad: Number of bad requests of the old version.
        bad_targets: Targets of the new version with a bad request.
    """

    share_sum: float = 0.0
    count: int = 0
    new_ok: int = 0
    new_bad: int = 0
    old_ok: int = 0
    old_bad: int = 0
    bad_targets: set[str] = dataclasses.field(default_factory=set)

    def add(self, share: float, is_new: bool, is_bad: bool) -> None:
        """Adds one observation."""
        self.share_sum += share
        self.count += 1
        self.new_ok += is_new and not is_bad
        self.new_bad += is_new and is_bad
        self.old_ok += not is_new and not is_bad
        self.old_bad += not is_new and is_bad

    def add_all(self, other: messages.Observation) -> None:
        """Adds all requests of an observation."""
        c = other.counts
        count = c.new_ok + c.new_bad + c.old_ok + c.old_bad
        self.share_sum += other.share * count
        self.count += count
        self.new_ok += c.new_ok
        self.new_bad += c.new_bad
        self.old_ok += c.old_ok
        self.old_bad += c.old_bad
        self.bad_targets.update(other.bad_targets)

    def observation(
        self, signal: messages.Signal, route: str
    ) -> messages.Observation:
        """Returns the requests as one observation with their mean share."""
        share = self.share_sum / self.count
        counts = messages.Counts(
            self.new_ok, self.new_bad, self.old_ok, self.old_bad
        )
        return messages.Observation(
            signal, route, share, counts, tuple(sorted(self.bad_targets))
        )
