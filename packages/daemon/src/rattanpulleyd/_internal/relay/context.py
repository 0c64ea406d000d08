"""What the parts of the relay share."""

import dataclasses
import random

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import decision_log
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_prober
from rattanpulleyd._internal.relay import wire


class ClientGoneError(Exception):
    """The client closed its connection."""


@dataclasses.dataclass(slots=True)
class SharedTargets:
    """What other hosts may learn of the targets.

    Attributes:
        log: Changes by position of the store.
        confirmed_at_s: When the call that confirmed the newest position was
            sent, on the clock that counts suspension.
    """

    log: serving.ChangeLog
    confirmed_at_s: float = float("-inf")


@dataclasses.dataclass(frozen=True)
class RelayContext:
    """State and services of one process.

    Attributes:
        belief: The configuration and its age.
        targets: Targets by id.
        shared_targets: Changes of targets that other hosts ask for.
        loads: Load and health by target.
        placement: Choice of targets.
        reading: How long engines take to read a prompt.
        resends: Budget for further attempts.
        trials: Versions of targets on trial, and the standing of all versions.
        fleet: The other hosts.
        names: Header names of the deployment.
        prober: Tells whether a silent target is alive.
        log: Log of decisions.
        metrics: Counters and histograms.
        rng: Source of randomness.
    """

    belief: serving.CachedConfig
    targets: serving.TargetRegistry
    shared_targets: SharedTargets
    loads: serving.LoadTable
    placement: serving.Placement
    reading: serving.PrefillEstimator
    resends: serving.PoolRetryBudget
    trials: serving.TrialTable
    fleet: serving.Fleet
    names: wire.HeaderNames
    prober: target_prober.TargetProber
    log: decision_log.DecisionLog
    metrics: relay_metrics.RelayMetrics
    rng: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request that may run.

    Attributes:
        request: The request.
        route: Its route at its arrival.
        account: Client account that holds the key.
        pool: Pool that was chosen.
    """

    request: wire.ClientRequest
    route: serving.ServingRoute
    account: str
    pool: str

    def answer_by_s(self, belief: serving.CachedConfig) -> float:
        """Returns when the client, or the operator, stops waiting.

        The timeout in force counts, also for a request that waits already.
        """
        config = belief.config
        route = self.route
        if config is not None:
            current = config.route_for(self.request.host, self.request.path)
            route = current or route
        wait_s = min(self.request.time_left_s, route.timeout_s)
        return self.request.received_at_s + wait_s


def outgoing_headers(
    context: RelayContext,
    admission: Admission,
    entry: serving.TargetEntry,
    extra: wire.Headers = (),
) -> wire.Headers:
    """Returns the headers of a request to a target.

    Args:
        context: State of the process.
        admission: The request.
        entry: The target.
        extra: Headers of this attempt; they replace the client's.
    """
    names = context.names
    replaced = {name.lower() for name, _ in extra}
    kept = [
        item
        for item in admission.request.headers
        if item[0].lower() not in replaced
    ]
    left_s = admission.answer_by_s(context.belief) - clock.now_s()
    kept.append((names.time_left_ms, b"%d" % max(1, int(left_s * 1000))))
    kept.append((names.expected_target, entry.target_id.encode()))
    if admission.account:
        kept.append((names.account, admission.account.encode()))
    return (*kept, *extra)
