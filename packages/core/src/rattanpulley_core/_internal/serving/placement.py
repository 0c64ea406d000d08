"""Selection of targets for requests and for copies of a run's memory.

Each host knows only its own attempts exactly. It compares a few random
candidates instead of all targets, so that hosts with the same stale reports do
not all select the same target.
"""

from collections.abc import Callable, Mapping
import dataclasses
import random

from rattanpulley_core._internal.serving import load_table
from rattanpulley_core._internal.serving import reported_load
from rattanpulley_core._internal.serving import reports
from rattanpulley_core._internal.serving import target_availability
from rattanpulley_core._internal.serving import target_registry
from rattanpulley_core._internal.serving import versions as versions_lib

# All costs are in units of one request in flight.
#
# Cost of a target in another failure domain, which is further away and can
# become unreachable.
REMOTE_COST = 0.3
# Cost of one recent failure.
FAULT_COST = 4.0
# Cost of a prompt in prefill, which delays every other request of the engine.
PREFILL_COST = 2.0
# Cost of a target that is still warming up.
COLD_COST = 1.0
MAX_CANDIDATES = 4
# A reported prompt delays this one by the duration of its own prefill. The
# prefill of this prompt slows each reported stream for as long, but does not
# stop it.
REPORTED_PROMPT_COST = 1.0
REPORTED_STREAM_COST = 0.35
# Upper bounds of the random part of a cost. Hosts that lose streams in the same
# crash select a new target at the same time and from the same reports; the
# random part distributes them.
COST_JITTER = 0.25
COST_JITTER_AFTER_LOSS = 0.8
# Upper bound of the random part of a cost by expected finish, relative to it.
# Without it, all hosts with the same reports choose the same target.
FINISH_SPREAD = 0.5
# Size of the sample from which the faster engines are shortlisted, relative to
# the shortlist.
SHORTLIST_DRAWS = 2
# Engines preempt running streams when their memory is nearly full.
FULL_MEMORY_SHARE = 0.8
FULL_MEMORY_COST = 4.0
# Cost of each second until an engine has memory for the request. The prefill of
# a prompt of usual length takes about a second.
ROOM_WAIT_COST_PER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Requirements of a request on its target.

    Attributes:
        pool: Name of the pool.
        excluded_ids: Targets that were already tried.
        needs_prefill: Whether the request starts with a long prompt.
        prefers_canary: Whether the request goes to a canary version, if one of
            its targets is reachable.
    """

    pool: str
    excluded_ids: frozenset[str] = frozenset()
    needs_prefill: bool = False
    prefers_canary: bool = False


class Placement:
    """Selects targets for the requests of one host."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
        own_domain: str,
        rng: random.Random,
        versions: versions_lib.VersionGate | None = None,
        availability: target_availability.TargetAvailability | None = None,
    ) -> None:
        """Initializes the placement.

        Args:
            targets: All targets.
            loads: Load and health of each target.
            own_domain: Failure domain of the host.
            rng: Random number generator.
            versions: Status of the versions; a new gate by default.
            availability: What targets say about themselves; a new table by
                default.
        """
        self._availability = (
            availability or target_availability.TargetAvailability()
        )
        self._versions = versions or versions_lib.VersionGate()
        self._targets = targets
        self._loads = loads
        self._own_domain = own_domain
        self._rng = rng

    def choose(
        self, query: PlacementQuery, now_s: float
    ) -> target_registry.TargetEntry | None:
        """Returns the target for a request, or None if the pool has none.

        Targets that were already tried or are blocked are used only if no other
        target is left; those that drain, have asked for time or have enough
        requests are not.
        """
        entries = self._stable(
            query.pool, self._open_entries(query.pool, now_s)
        )
        untried = [e for e in entries if e.target_id not in query.excluded_ids]
        candidates = self._available_entries(query, now_s) or untried or entries
        sample = self._sample(candidates)
        # Engines for prompts are chosen here only if none has answered a probe.
        if not query.needs_prefill and self._is_uneven(sample, now_s):
            return self._choose_by_finish(sample, query, now_s)
        return min(
            sample,
            key=lambda entry: self._cost(entry, query, now_s),
            default=None,
        )

    def _is_uneven(
        self, entries: list[target_registry.TargetEntry], now_s: float
    ) -> bool:
        """Returns whether the slowness of any of the targets is known."""
        return any(
            self._loads.known_slowness(entry.target_id, now_s) is not None
            for entry in entries
        )

    def _choose_by_finish(
        self,
        entries: list[target_registry.TargetEntry],
        query: PlacementQuery,
        now_s: float,
    ) -> target_registry.TargetEntry:
        """Returns a target that is expected to finish a request early.

        Hosts with the same reports select different targets: because of the
        random factor, a target with a slightly higher cost may be selected.
        """
        mean_slots = sum(entry.slots for entry in entries) / len(entries)
        costs_by_id = {
            entry.target_id: self._finish_cost(entry, query, mean_slots, now_s)
            * self._rng.uniform(1.0, 1.0 + FINISH_SPREAD)
            for entry in entries
        }
        return min(entries, key=lambda entry: costs_by_id[entry.target_id])

    def _finish_cost(
        self,
        entry: target_registry.TargetEntry,
        query: PlacementQuery,
        mean_slots: float,
        now_s: float,
    ) -> float:
        """Returns the cost of a target by the expected finish of a request.

        A request at an idle, normal target with `mean_slots` costs 1, so that
        failures and distance have the same weight as in `_cost`.
        """
        load = self._loads.load_of(entry.target_id)
        work = reported_load.expected_work(
            min(
                load.reported_running,
                entry.slots * target_availability.SLOT_FACTOR,
            ),
            now_s - load.reported_at_s,
            load.sent_since_report(),
            load.in_flight,
        )
        finish = reported_load.finish_time(
            work, self._slowness(entry, now_s), entry.slots
        )
        return self._with_penalties(finish * mean_slots, entry, query, now_s)

    def shortlist(
        self, query: PlacementQuery, count: int, now_s: float
    ) -> list[target_registry.TargetEntry]:
        """Returns a few targets to query for their state, cheapest first.

        They are a random sample that includes at least one available target of
        the host's own failure domain, if there is one. Of targets of known
        slowness, they are the faster half of a sample of twice the size.
        """
        entries = self._available_entries(query, now_s)
        drawn = count * (
            SHORTLIST_DRAWS if self._is_uneven(entries, now_s) else 1
        )
        sample = self._rng.sample(entries, min(drawn, len(entries)))
        if len(sample) > count:
            sample = self._fastest(sample, count, now_s)
        local = [e for e in entries if e.domain == self._own_domain]
        if local and not any(e.domain == self._own_domain for e in sample):
            sample[-1] = self._rng.choice(local)
        return sorted(sample, key=lambda entry: self._cost(entry, query, now_s))

    def _fastest(
        self,
        entries: list[target_registry.TargetEntry],
        count: int,
        now_s: float,
    ) -> list[target_registry.TargetEntry]:
        """Returns the entries with the least slowness, fastest first."""
        ranked = sorted(entries, key=lambda e: self._slowness(e, now_s))
        return ranked[:count]

    def _slowness(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> float:
        """Returns the expected slowness of a target, 1.0 if unknown."""
        known = self._loads.known_slowness(entry.target_id, now_s)
        return 1.0 if known is None else known

    def shortage(self, pool: str, now_s: float) -> target_availability.Shortage:
        """Returns why no target of a pool was chosen."""
        availability = self._availability
        entries = [
            entry
            for entry in self._targets.in_pool(pool)
            if not availability.is_draining(entry, now_s)
        ]
        entries = self._stable(pool, entries)
        available = availability.available(entries, now_s)
        waits_s = [availability.back_in_s(entry, now_s) for entry in entries]
        if not available:
            return target_availability.Shortage(min(waits_s, default=None))
        paused = len(entries) - len(available)
        is_full = _is_scarce(paused, len(available)) and not any(
            availability.is_ramping(entry, now_s)
            or self._has_room(entry, now_s)
            for entry in available
        )
        return target_availability.Shortage(is_full=is_full)

    def _open_entries(
        self, pool: str, now_s: float
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets of a pool that may get one more request."""
        availability = self._availability
        available = []
        paused = 0
        for entry in self._targets.in_pool(pool):
            reason = availability.reason_of(entry, now_s)
            if reason is None:
                available.append(entry)
            elif reason is target_availability.Reason.RETRY_AFTER:
                paused += 1
        is_scarce = _is_scarce(paused, len(available))
        return [
            entry
            for entry in available
            if not (is_scarce or availability.is_ramping(entry, now_s))
            or self._has_room(entry, now_s)
        ]

    def _has_room(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> bool:
        """Returns whether a scarce target may get one more request."""
        load = self._loads.load_of(entry.target_id)
        limit = self._availability.own_limit(entry, now_s)
        if now_s - load.reported_at_s >= load_table.REPORT_AGE_LIMIT_S:
            return load.in_flight < limit
        if (
            load.reported_running
            >= entry.slots * target_availability.SLOT_FACTOR
        ):
            return False
        is_idle = load.reported_running < entry.slots
        if is_idle and not self._availability.is_ramping(entry, now_s):
            # The other hosts use less than their share.
            limit = max(limit, entry.slots)
        return load.in_flight < limit

    def _known_load(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> int:
        """Returns the own requests, or what a recent report says if more."""
        load = self._loads.load_of(entry.target_id)
        if now_s - load.reported_at_s < load_table.REPORT_AGE_LIMIT_S:
            return max(load.in_flight, load.reported_running)
        return load.in_flight

    def _available_entries(
        self, query: PlacementQuery, now_s: float
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets that were not tried and are not blocked.

        Targets of an accepted version are used if no target of a stable version
        is among them.
        """
        entries = [
            entry
            for entry in self._open_entries(query.pool, now_s)
            if entry.target_id not in query.excluded_ids
            and not self._is_blocked(entry, now_s)
        ]
        versions = self._versions
        canaries = versions.canaries(entries) if query.prefers_canary else []
        return (
            canaries
            or versions.stable(entries)
            or versions.accepted(entries)
            or self._last_resort(query.pool, entries)
        )

    def _stable(
        self, pool: str, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets of stable versions, else those of last resort."""
        return self._versions.stable(entries) or self._last_resort(
            pool, entries
        )

    def _last_resort(
        self, pool: str, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        if not entries:
            return []
        return self._versions.last_resort(entries, self._targets.in_pool(pool))

    def choose_by_reports(
        self,
        reported: list[
            tuple[target_registry.TargetEntry, reports.TargetReport]
        ],
        now_s: float,
        after_loss: bool = False,
        room_waits_by_id: Mapping[str, float] | None = None,
    ) -> target_registry.TargetEntry:
        """Returns the target with the shortest expected time to prefill.

        Args:
            reported: Targets with their reports; at least one.
            now_s: Current time.
            after_loss: Whether another target was lost, in which case other
                hosts probably select a target at the same time.
            room_waits_by_id: Seconds until each target has memory for the
                request; targets that are missing get none. None if the memory
                is not considered.
        """
        if room_waits_by_id:
            reported = [
                row for row in reported if row[0].target_id in room_waits_by_id
            ] or reported
        jitter = COST_JITTER_AFTER_LOSS if after_loss else COST_JITTER
        costs_by_id = {
            entry.target_id: self._reported_cost(
                entry, report, now_s, room_waits_by_id or {}
            )
            + self._rng.uniform(0.0, jitter)
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
        room_waits_by_id: Mapping[str, float],
    ) -> float:
        """Returns the cost of a target from its report and own attempts."""
        load = self._loads.load_of(entry.target_id)
        # The report does not contain the most recent prompts of this host yet.
        prompts = max(report.prompts, load.prefills)
        streams = max(len(report.events_by_run), load.in_flight - load.prefills)
        cost = REPORTED_PROMPT_COST * prompts + REPORTED_STREAM_COST * streams
        cost += FAULT_COST * self._loads.faults(entry.target_id, now_s)
        room_wait_s = room_waits_by_id.get(entry.target_id)
        if room_wait_s is not None:
            cost += ROOM_WAIT_COST_PER_S * room_wait_s
        elif report.memory_share > FULL_MEMORY_SHARE:
            cost += FULL_MEMORY_COST
        if entry.domain != self._own_domain:
            cost += REMOTE_COST
        return cost

    def choose_copy_holder(
        self, pool: str, runs_on: target_registry.TargetEntry, now_s: float
    ) -> target_registry.TargetEntry | None:
        """Returns the target that stores a copy of a run's memory.

        The copy is in a different failure domain than the run. If possible, one
        of the two is in the host's own domain, so that the request can continue
        when that domain is partitioned from the others.

        Args:
            pool: Name of the pool.
            runs_on: Target of the run.
            now_s: Current time.

        Returns:
            The target, or None if no other failure domain has one.
        """
        entries = [
            entry
            for entry in self._copy_holders(pool, now_s)
            if entry.domain != runs_on.domain
            and entry.target_id != runs_on.target_id
            and not self._is_blocked(entry, now_s)
        ]
        if runs_on.domain != self._own_domain:
            local = [e for e in entries if e.domain == self._own_domain]
            entries = local or entries
        return self._choose_cheapest(
            entries, lambda entry: self._copy_cost(entry, now_s)
        )

    def _copy_holders(
        self, pool: str, now_s: float
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets that may store copies.

        Targets of an accepted version come first, because the old targets stop
        immediately when the rollout of that version is completed.
        """
        listed = self._targets.in_pool(pool)
        entries = self._availability.available(listed, now_s)
        return self._versions.accepted(entries) or self._stable(pool, entries)

    def _choose_cheapest(
        self,
        entries: list[target_registry.TargetEntry],
        cost: Callable[[target_registry.TargetEntry], float],
    ) -> target_registry.TargetEntry | None:
        """Returns the cheapest of a few random entries, or None."""
        return min(self._sample(entries), key=cost, default=None)

    def _sample(
        self, entries: list[target_registry.TargetEntry]
    ) -> list[target_registry.TargetEntry]:
        """Returns a few random entries."""
        if not entries:
            return []
        return self._rng.sample(entries, min(MAX_CANDIDATES, len(entries)))

    def _is_blocked(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> bool:
        return now_s < self._loads.load_of(entry.target_id).blocked_until_s

    def _cost(
        self,
        entry: target_registry.TargetEntry,
        query: PlacementQuery,
        now_s: float,
    ) -> float:
        """Returns the expected wait, in units of one request in flight."""
        cost = float(self._known_load(entry, now_s))
        return self._with_penalties(cost, entry, query, now_s)

    def _with_penalties(
        self,
        cost: float,
        entry: target_registry.TargetEntry,
        query: PlacementQuery,
        now_s: float,
    ) -> float:
        """Returns a cost with all that makes a target worse besides load."""
        load = self._loads.load_of(entry.target_id)
        cost += FAULT_COST * self._loads.faults(entry.target_id, now_s)
        if query.needs_prefill:
            cost += PREFILL_COST * load.prefills + 0.5 * load.copies
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


def _is_scarce(paused: int, available: int) -> bool:
    """Returns whether at least half of the targets have asked for time."""
    return 0 < paused >= available
