"""Reads the operator's rollout orders and runs the trials of this host.

The orders are read when targets of an unknown version appear, and then
periodically until all orders are decided.
"""

import time

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay.rollouts import trial_steps

STEP_INTERVAL_S = 0.2
CALL_TIMEOUT_S = trial_steps.CALL_TIMEOUT_S
POLL_S = 1.5
# Targets of a version that was rolled back leave within seconds; ready ones may
# belong to a new order for the same version.
REJECTED_POLL_S = 3.0
RETRY_S = 0.4
# Expected number of hosts that record the start of an order, for hosts that
# start later.
START_RECORDING_HOSTS = 4.0


class RolloutWatch:
    """Reads rollout orders and advances the trials of this host."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        store: serving.RolloutStore,
        host: str,
    ) -> None:
        """Creates a watch without reading the store.

        Args:
            context: State of the process.
            store: Holds the orders and the evidence of all hosts.
            host: Name of this host.
        """
        self._context = context
        self._store = store
        self._steps = trial_steps.TrialSteps(context, store, host)
        self._read_at_s = float("-inf")
        self._retry_at_s = float("-inf")

    def run_forever(self) -> None:
        """Runs `step` periodically; runs in its own greenlet."""
        while True:
            gevent.sleep(STEP_INTERVAL_S)
            try:
                self.step(clock.now_s())
            except serving.SourceError as error:
                self._retry_at_s = clock.now_s() + RETRY_S
                self._context.log.failure(
                    "rollout.call_failed", reason=str(error)
                )

    def step(self, now_s: float) -> None:
        """Reads the orders if due and advances each trial.

        Raises:
            serving.SourceError: The store could not be reached.
        """
        if now_s < self._retry_at_s:
            return
        if self._must_read(now_s):
            self._read_orders(now_s)
        for trial in self._context.trials.trials:
            if self._steps.advance(trial):
                self._read_orders(clock.now_s())

    def _must_read(self, now_s: float) -> bool:
        context = self._context
        if not context.targets.listed:
            return False
        entries = context.targets.all_entries()
        if context.trials.gate.unexamined(entries):
            return True
        if context.trials.trials:
            return now_s - self._read_at_s >= POLL_S
        rejected = any(
            not entry.leaving
            and context.trials.gate.status_of(entry.pool, entry.version)
            is serving.VersionStatus.REJECTED
            for entry in entries
        )
        return rejected and now_s - self._read_at_s >= REJECTED_POLL_S

    def _read_orders(self, now_s: float) -> None:
        context = self._context
        seen = {(e.pool, e.version) for e in context.targets.all_entries()}
        orders = self._store.read_orders(CALL_TIMEOUT_S)
        context.metrics.store_calls.labels("rollouts", "ok").inc()
        self._read_at_s = now_s
        gate = context.trials.gate
        stable_pools = {
            pool
            for pool, version in seen
            if gate.status_of(pool, version) is serving.VersionStatus.STABLE
        }
        before = gate.status_by_version()
        changes = gate.apply_orders(orders, seen)
        self._log_changes(changes, before, orders)
        for order in context.trials.apply_orders(orders, now_s):
            self._start_trial(order, order.pool in stable_pools)
        self._steps.remove_evidence()

    def _log_changes(
        self,
        changes: list[tuple[str, str, serving.VersionStatus]],
        before: dict[tuple[str, str], serving.VersionStatus],
        orders: tuple[serving.RolloutOrder, ...],
    ) -> None:
        """Logs each change of a status with the order that was read.

        Args:
            changes: Pool, version and new status.
            before: Status of each version before the read.
            orders: All orders.
        """
        orders_by_pool = {order.pool: order for order in orders}
        for pool, version, status in changes:
            order = orders_by_pool.get(pool)
            earlier = before.get(
                (pool, version), serving.VersionStatus.UNEXAMINED
            )
            self._context.log.change(
                "version.standing",
                pool=pool,
                version=version,
                standing=status.value,
                before=earlier.value,
                order=order.version if order else None,
                order_state=order.state.value if order else None,
                order_revision=order.revision if order else None,
            )

    def _start_trial(
        self, order: serving.RolloutOrder, saw_start: bool
    ) -> None:
        """Starts a trial.

        Args:
            order: The order.
            saw_start: Whether this host ran when the new targets appeared;
                otherwise it started later and must read when the order was
                given.
        """
        context = self._context
        fleet = context.fleet
        hosts = fleet.hosts if fleet.listed else None
        elapsed_s = 0.0
        if saw_start:
            if context.rng.random() < START_RECORDING_HOSTS / fleet.hosts:
                self._record_start(order)
        else:
            started_at = self._store.read_start(order, CALL_TIMEOUT_S)
            if started_at is not None:
                elapsed_s = time.time() - started_at
        elapsed_s = min(max(0.0, elapsed_s), order.duration_s)
        context.trials.begin(order, clock.now_s() - elapsed_s, hosts)
        context.log.change(
            "rollout.trial_began",
            pool=order.pool,
            version=order.version,
            duration_s=order.duration_s,
            elapsed_s=round(elapsed_s, 2),
            hosts=hosts,
        )

    def _record_start(self, order: serving.RolloutOrder) -> None:
        try:
            self._store.record_start(order, time.time(), CALL_TIMEOUT_S)
        except serving.SourceError as error:
            # Only hosts that start during the rollout need this record.
            self._context.log.failure("rollout.call_failed", reason=str(error))
