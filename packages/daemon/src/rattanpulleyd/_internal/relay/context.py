"""State and services that the modules of the relay share."""

import dataclasses
import random

from rattanpulley_core import serving
from rattanpulley_core import suspects as suspects_lib
from rattanpulleyd._internal.relay import byte_budget
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import decision_log
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_announcements
from rattanpulleyd._internal.relay import target_prober
from rattanpulleyd._internal.relay import wire


class ClientDisconnectedError(Exception):
    """The client closed its connection."""


@dataclasses.dataclass(slots=True)
class SharedTargets:
    """Target changes that other hosts can request.

    Attributes:
        log: Changes, keyed by store position.
        confirmed_at_s: When the call that confirmed the latest position was
            sent, on `clock.suspend_aware_now_s`.
    """

    log: serving.ChangeLog
    confirmed_at_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class HostStop:
    """When a stop of the host ends its requests.

    Attributes:
        deadline_s: When requests that still run get their final answer, on the
            monotonic clock; infinite until the stop begins.
    """

    deadline_s: float = float("inf")


@dataclasses.dataclass(frozen=True)
class RelayContext:
    """Shared state and services of one process.

    Attributes:
        cached_config: The configuration and its age.
        targets: Targets by id.
        availability: What targets say about themselves.
        announcements: Reads it from the answers of targets.
        shared_targets: Target changes that other hosts can request.
        loads: Load and health by target.
        placement: Selection of targets.
        admission_control: Room of engines and waiting requests.
        prefill_estimator: Estimates how long engines take to prefill a prompt.
        retry_budget: Limits retries for each pool.
        trials: Running rollout trials, and the status of all versions.
        silences: Targets that were left because they were silent.
        suspects: Requests that crash targets.
        part_suspects: Parts of prompts that crash targets.
        left_runs: Runs that were left while their targets may go on.
        watched_ids: Targets that are watched since a stream has left them.
        host_stop: When a stop of the host ends its requests.
        fleet: The hosts of the deployment.
        names: Header names of the deployment.
        prober: Checks whether an unresponsive target is alive.
        byte_budget: Memory of the client connections.
        log: Log of decisions.
        metrics: Counters and histograms.
        rng: Random number generator.
    """

    cached_config: serving.CachedConfig
    targets: serving.TargetRegistry
    availability: serving.TargetAvailability
    announcements: target_announcements.TargetAnnouncements
    shared_targets: SharedTargets
    loads: serving.LoadTable
    placement: serving.Placement
    admission_control: serving.AdmissionControl
    prefill_estimator: serving.PrefillEstimator
    retry_budget: serving.PoolRetryBudget
    trials: serving.TrialTable
    silences: serving.TargetSilences
    suspects: suspects_lib.SharedSuspects
    part_suspects: suspects_lib.PartSuspects
    left_runs: suspects_lib.LeftRuns
    watched_ids: set[str]
    host_stop: HostStop
    fleet: serving.Fleet
    names: wire.HeaderNames
    prober: target_prober.TargetProber
    byte_budget: byte_budget.ByteBudget
    log: decision_log.DecisionLog
    metrics: relay_metrics.RelayMetrics
    rng: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """An authorized request and where it is routed.

    Attributes:
        request: The request.
        route: Route that matched when the request arrived.
        account: Client account that owns the key.
        pool: Pool selected for the request.
        fingerprint: Identifies repetitions of the request.
        terms: What holds for the request while the configuration changes.
        config_version: Version of the configuration that admitted it.
        priority: Rank of the request, 0 first, or None. All of its attempts
            keep it while the configuration changes.
        pool_has_engines: Whether the targets of the pool generate tokens,
            according to the version that admitted it.
    """

    request: wire.ClientRequest
    route: serving.ServingRoute
    account: str
    pool: str
    fingerprint: str
    terms: serving.RequestTerms
    config_version: int
    priority: int | None = None
    pool_has_engines: bool = False

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Fingerprints of the shared parts of the prompt, in order."""
        return tuple(
            suspects_lib.part_key(self.pool, part)
            for part in self.request.shared_parts
        )

    def deadline_s(self, context: RelayContext) -> float:
        """Returns when the request gets its final answer at the latest.

        The timeout of the client or of the route has expired by then, or the
        host stops.
        """
        deadline_s = self.timeout_deadline_s(context.cached_config)
        return min(deadline_s, context.host_stop.deadline_s)

    def is_cut_short(self, cached_config: serving.CachedConfig) -> bool:
        """Returns whether its time is over only by a shortened timeout."""
        now_s = clock.now_s()
        wait_s = min(self.request.time_left_s, self.terms.longest_timeout_s)
        return (
            self.timeout_deadline_s(cached_config)
            <= now_s
            < self.request.received_at_s + wait_s
        )

    def timeout_deadline_s(self, cached_config: serving.CachedConfig) -> float:
        """Returns when the timeout of the client or of the route expires."""
        timeout_s = self.terms.timeout_s(cached_config.config)
        wait_s = min(self.request.time_left_s, timeout_s)
        return self.request.received_at_s + wait_s


def known_crashes(
    context: RelayContext, kind: suspects_lib.SuspectKind
) -> suspects_lib.KnownCrashes:
    """Returns the crash reports of one kind."""
    if kind is suspects_lib.SuspectKind.PART:
        return context.part_suspects
    return context.suspects


def outgoing_headers(
    context: RelayContext,
    admission: Admission,
    entry: serving.TargetEntry,
    extra: wire.Headers = (),
) -> wire.Headers:
    """Returns the headers of an attempt at a target.

    Args:
        context: State of the process.
        admission: The request.
        entry: The target.
        extra: Headers of this attempt; they replace the client's headers of
            the same name.
    """
    names = context.names
    replaced = {name.lower() for name, _ in extra}
    kept = [
        item
        for item in admission.request.headers
        if item[0].lower() not in replaced
    ]
    left_s = admission.deadline_s(context) - clock.now_s()
    kept.append((names.time_left_ms, b"%d" % max(1, int(left_s * 1000))))
    kept.append((names.expected_target, entry.target_id.encode()))
    if admission.account:
        kept.append((names.account, admission.account.encode()))
    if admission.priority is not None and admission.pool_has_engines:
        kept.append((names.priority, b"%d" % admission.priority))
    return (*kept, *extra)
