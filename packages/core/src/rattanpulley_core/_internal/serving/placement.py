"""Choice of a target, and of the target that keeps a copy of the memory.

Each host knows only its own attempts exactly. It compares a few candidates
instead of all, so that hosts with the same stale knowledge do not all choose
the same target.
"""

from collections.abc import Callable
import dataclasses
import math
import random

from rattanpulley_core._internal.serving import reports
from rattanpulley_core._internal.serving import target_registry
from rattanpulley_core._internal.serving import versions as versions_lib

# A target of another failure domain must be less loaded by this share of a
# request: it is further away and can be cut off.
REMOTE_COST = 0.3
# Cost of one recent failure, in requests in flight.
FAULT_COST = 4.0
# Prompts that are read delay every other request of an engine.
READING_COST = 2.0
# A cold target counts as if it already had this many requests.
COLD_COST = 1.0
CANDIDATES = 4
# A prompt before this one delays it by its own reading. Reading this one slows
# each stream there for as long, but does not stop it.
PROMPT_COST = 1.0
STREAM_COST = 0.35
# Hosts that lose streams to one crash choose again at the same moment and with
# the same reports; a random part of the cost spreads them.
SPREAD_COST = 0.25
SPREAD_COST_AFTER_LOSS = 0.8
# Engines whose memory is nearly full put requests off in mid-stream.
FULL_MEMORY_SHARE = 0.8
FULL_MEMORY_COST = 4.0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """What this host knows of one target's load and health.

    Attributes:
        in_flight: Own attempts that run.
        prefills: Own attempts whose prompt is being read.
        copies: Own runs that keep a copy of their memory there.
        reported_running: Requests that the target last said it ran.
        reported_at_s: When it said so.
        fault_score: Recent failures; halves over time.
        fault_at_s: When the score was last changed.
        blocked_until_s: No new work before this time, after the target was
            found out of reach.
    """

    in_flight: int = 0
    prefills: int = 0
    copies: int = 0
    reported_running: int = 0
    reported_at_s: float = float("-inf")
    fault_score: float = 0.0
    fault_at_s: float = 0.0
    blocked_until_s: float = float("-inf")


FAULT_HALF_LIFE_S = 1.5
# A report is of use for about the length of a short request.
REPORT_AGE_LIMIT_S = 0.5


class LoadTable:
    """Load and health by target."""

    def __init__(self) -> None:
        self._loads_by_id: dict[str, TargetLoad] = {}

    def load_of(self, target_id: str) -> TargetLoad:
        """Returns the row of a target."""
        return self._loads_by_id.setdefault(target_id, TargetLoad())

    def forget(self, target_id: str) -> None:
        """Drops the row of a target that is gone."""
        self._loads_by_id.pop(target_id, None)

    def record_report(self, target_id: str, running: int, now_s: float) -> None:
        """Takes what a target says of its own load."""
        load = self.load_of(target_id)
        load.reported_running = running
        load.reported_at_s = now_s

    def record_fault(
        self, target_id: str, now_s: float, blocked_s: float = 0.0
    ) -> None:
        """Records a failure, and for how long to send no new work."""
        load = self.load_of(target_id)
        load.fault_score = self.faults(target_id, now_s) + 1.0
        load.fault_at_s = now_s
        load.blocked_until_s = max(load.blocked_until_s, now_s + blocked_s)

    def record_success(self, target_id: str, now_s: float) -> None:
        """Records a good answer."""
        load = self.load_of(target_id)
        load.fault_score = self.faults(target_id, now_s) / 2.0
        load.fault_at_s = now_s
        load.blocked_until_s = float("-inf")

    def faults(self, target_id: str, now_s: float) -> float:
        """Returns the failures weighted by their age."""
        load = self.load_of(target_id)
        age_s = max(0.0, now_s - load.fault_at_s)
        halvings = age_s / FAULT_HALF_LIFE_S
        return load.fault_score * math.pow(0.5, halvings)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementQuery:
    """What a target is wanted for.

    Attributes:
        pool: Name of the pool.
        excluded_ids: Targets that were tried already.
        needs_prefill: Whether the request begins with a long prompt.
        prefers_canary: Whether the request goes to a canary version, if one of
            its targets is reachable.
    """

    pool: str
    excluded_ids: frozenset[str] = frozenset()
    needs_prefill: bool = False
    prefers_canary: bool = False


class Placement:
    """Chooses targets for one host."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        loads: LoadTable,
        own_domain: str,
        rng: random.Random,
        versions: versions_lib.VersionGate | None = None,
    ) -> None:
        """Creates a choice.

        Args:
            targets: All targets.
            loads: Load and health by target.
            own_domain: Failure domain of the host.
            rng: Source of randomness.
            versions: Which versions take requests; all of them without it.
        """
        self._versions = versions or versions_lib.VersionGate()
        self._targets = targets
        self._loads = loads
        self._own_domain = own_domain
        self._rng = rng

    def choose(
        self, query: PlacementQuery, now_s: float
    ) -> target_registry.TargetEntry | None:
        """Returns the target for a request, or None if there is none.

        Targets that were tried or found out of reach come last; they are used
        only when nothing else is left.
        """
        entries = self._versions.stable(self._targets.usable(query.pool))
        fresh = [e for e in entries if e.target_id not in query.excluded_ids]
        candidates = self._open_entries(query, now_s) or fresh or entries
        return self._least(
            candidates, lambda entry: self._cost(entry, query, now_s)
        )

    def shortlist(
        self, query: PlacementQuery, count: int, now_s: float
    ) -> list[target_registry.TargetEntry]:
        """Returns a few targets to ask for their state, best first.

        They are a random choice, except that the least loaded target of the
        own domain by own knowledge is among them.
        """
        entries = self._open_entries(query, now_s)
        few = self._rng.sample(entries, min(count, len(entries)))
        near = [e for e in entries if e.domain == self._own_domain]
        if near and not any(e.domain == self._own_domain for e in few):
            few[-1] = self._rng.choice(near)
        return sorted(few, key=lambda entry: self._cost(entry, query, now_s))

    def _open_entries(
        self, query: PlacementQuery, now_s: float
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets that were neither tried nor found out of reach.

        An accepted version stands in when no usual target is among them.
        """
        entries = [
            entry
            for entry in self._targets.usable(query.pool)
            if entry.target_id not in query.excluded_ids
            and not self._blocked(entry, now_s)
        ]
        versions = self._versions
        trial = versions.canaries(entries) if query.prefers_canary else []
        return trial or versions.stable(entries) or versions.accepted(entries)

    def choose_by_reports(
        self,
        reported: list[
            tuple[target_registry.TargetEntry, reports.TargetReport]
        ],
        now_s: float,
        after_loss: bool = False,
    ) -> target_registry.TargetEntry:
        """Returns the target where a prompt is read soonest.

        Args:
            reported: Targets with what they report; at least one.
            now_s: Current time.
            after_loss: Whether another target was lost, so that other hosts
                probably choose at the same moment.
        """
        spread = SPREAD_COST_AFTER_LOSS if after_loss else SPREAD_COST
        costs_by_id = {
            entry.target_id: self._reported_cost(entry, report, now_s)
            + self._rng.uniform(0.0, spread)
            for entry, report in reported
        }
        return min(
            (entry for entry, _ in reported),
            key=lambda entry: costs_by_id[entry.target_id],
        )

    def _reported_cost(
        self,
        entry: target_registry.TargetEntry,
        report: reports.TargetReport,
        now_s: float,
    ) -> float:
        load = self._loads.load_of(entry.target_id)
        # Own prompts of the last moment are not in the report yet.
        prompts = max(report.prompts, load.prefills)
        streams = max(len(report.events_by_run), load.in_flight - load.prefills)
        cost = PROMPT_COST * prompts + STREAM_COST * streams
        cost += FAULT_COST * self._loads.faults(entry.target_id, now_s)
        if report.memory_share > FULL_MEMORY_SHARE:
            cost += FULL_MEMORY_COST
        if entry.domain != self._own_domain:
            cost += REMOTE_COST
        return cost

    def choose_copy_holder(
        self, pool: str, runs_on: target_registry.TargetEntry, now_s: float
    ) -> target_registry.TargetEntry | None:
        """Returns the target that keeps a copy of a run's memory.

        It is in another failure domain than the run. One of the two is in the
        host's own domain, where that is possible, so that the request can go on
        when the domain is cut off.
        """
        entries = [
            entry
            for entry in self._copy_holders(pool)
            if entry.domain != runs_on.domain
            and entry.target_id != runs_on.target_id
            and not self._blocked(entry, now_s)
        ]
        if runs_on.domain != self._own_domain:
            near = [e for e in entries if e.domain == self._own_domain]
            entries = near or entries
        return self._least(entries, lambda entry: self._copy_cost(entry, now_s))

    def _copy_holders(self, pool: str) -> list[target_registry.TargetEntry]:
        """Returns the targets that may keep copies.

        The old targets stop at once when an accepted version takes over.
        """
        entries = self._targets.usable(pool)
        versions = self._versions
        return versions.accepted(entries) or versions.stable(entries)

    def _least(
        self,
        entries: list[target_registry.TargetEntry],
        cost: Callable[[target_registry.TargetEntry], float],
    ) -> target_registry.TargetEntry | None:
        """Returns the cheapest of a few random entries."""
        if not entries:
            return None
        few = self._rng.sample(entries, min(CANDIDATES, len(entries)))
        return min(few, key=cost)

    def _blocked(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> bool:
        return now_s < self._loads.load_of(entry.target_id).blocked_until_s

    def _cost(
        self,
        entry: target_registry.TargetEntry,
        query: PlacementQuery,
        now_s: float,
    ) -> float:
        """Returns the expected wait in units of a request in flight."""
        load = self._loads.load_of(entry.target_id)
        cost = float(load.in_flight)
        if now_s - load.reported_at_s < REPORT_AGE_LIMIT_S:
            cost = max(cost, float(load.reported_running))
        cost += FAULT_COST * self._loads.faults(entry.target_id, now_s)
        if query.needs_prefill:
            cost += READING_COST * load.prefills + 0.5 * load.copies
        if entry.domain != self._own_domain:
            cost += REMOTE_COST
        if entry.warmup_left_s > 0:
            cost += COLD_COST
        return cost

    def _copy_cost(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> float:
        load = self._loads.load_of(entry.target_id)
        faults = self._loads.faults(entry.target_id, now_s)
        return load.copies + load.in_flight + FAULT_COST * faults
