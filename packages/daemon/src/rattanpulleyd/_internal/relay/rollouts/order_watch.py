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
from rattanpulleyd._internal.relay.rollouts import version_recorder

STEP_INTERVAL_S = 0.2
CALL_TIMEOUT_S = trial_steps.CALL_TIMEOUT_S
POLL_S = 1.5
# Targets of a version that was rolled back leave within seconds; ready ones may
# belong to a new order for the same version. The record of an undecided version
# may still be written.
UNUSED_POLL_S = 3.0
RETRY_S = 0.4
_UNUSED = (serving.VersionStatus.REJECTED, serving.VersionStatus.UNDECIDED)


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
        self._recorder = version_recorder.VersionRecorder(context, store)
        self._steps = trial_steps.TrialSteps(
            context, store, self._recorder, host
        )
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
        self._recorder.step(clock.now_s())

    def _must_read(self, now_s: float) -> bool:
        context = self._context
        if not context.targets.listed:
            return False
        entries = context.targets.all_entries()
        for pool, version in context.trials.gate.forget_departed(entries):
            context.log.change("version.departed", pool=pool, version=version)
        if context.trials.gate.unexamined(entries):
            return True
        if context.trials.trials:
            return now_s - self._read_at_s >= POLL_S
        has_unused = any(
            not entry.leaving
            and context.trials.gate.status_of(entry.pool, entry.version)
            in _UNUSED
            for entry in entries
        )
        return has_unused and now_s - self._read_at_s >= UNUSED_POLL_S

    def _read_orders(self, now_s: float) -> None:
        context = self._context
        seen = {(e.pool, e.version) for e in context.targets.all_entries()}
        orders = self._store.read_orders(CALL_TIMEOUT_S)
        context.metrics.store_calls.labels("rollouts", "ok").inc()
        gate = context.trials.gate
        records: tuple[serving.VersionRecord, ...] = ()
        if gate.needs_records(orders, seen):
            stored = self._store.read_version_records(CALL_TIMEOUT_S)
            context.metrics.store_calls.labels("version_records", "ok").inc()
            records = self._recorder.confirm(stored)
        self._read_at_s = now_s
        stable_pools = {
            pool
            for pool, version in seen
            if gate.status_of(pool, version) is serving.VersionStatus.STABLE
        }
        before = gate.status_by_version()
        changes = gate.apply_orders(orders, seen, records)
        self._log_changes(changes, before, orders)
        self._recorder.expect_changes(orders, changes)
        records_by_key = {record.key: record for record in records}
        for order in context.trials.apply_orders(orders, now_s):
            # A host that ran when the targets appeared saw the start.
            elapsed_s = 0.0
            if order.pool not in stable_pools:
                elapsed_s = serving.order_elapsed_s(
                    records_by_key, order, time.time()
                )
            self._start_trial(order, elapsed_s)
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
        self, order: serving.RolloutOrder, elapsed_s: float
    ) -> None:
        """Starts a trial of an order that has been open for some time."""
        context = self._context
        fleet = context.fleet
        hosts = fleet.hosts if fleet.listed else None
        context.trials.begin(order, clock.now_s() - elapsed_s, hosts)
        context.log.change(
            "rollout.trial_began",
            pool=order.pool,
            version=order.version,
            duration_s=order.duration_s,
            elapsed_s=round(elapsed_s, 2),
            hosts=hosts,
        )
