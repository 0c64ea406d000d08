"""Takes part in the operator's orders to move a pool to a new version.

The orders are read when targets of an unknown version appear and then again and
again until all orders are decided. Hosts share their counts through the store;
whichever is first records the decision under a condition.
"""

import dataclasses
import time

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib

TICK_S = 0.2
CALL_TIMEOUT_S = 0.9
POLL_S = 1.5
# Targets of a version that was taken back leave within seconds; ready ones may
# belong to a new order for the same version.
REJECTED_POLL_S = 3.0
RETRY_S = 0.4
# One of a few hosts notes the begin of an order for those that start later.
NOTING_HOSTS = 4.0


class RolloutWatch:
    """Reads orders and advances the trials of this host."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        store: serving.RolloutStore,
        host: str,
    ) -> None:
        """Creates a watch that has read nothing.

        Args:
            context: State of the process.
            store: Where the orders are.
            host: Name of this host.
        """
        self._context = context
        self._store = store
        self._host = host
        self._read_at_s = float("-inf")
        self._retry_at_s = float("-inf")
        self._written: set[tuple[str, str]] = set()

    def run_forever(self) -> None:
        """Watches; runs as a greenlet of its own."""
        while True:
            gevent.sleep(TICK_S)
            try:
                self.step(clock.now_s())
            except serving.SourceError as error:
                self._retry_at_s = clock.now_s() + RETRY_S
                self._context.log.failure(
                    "rollout.call_failed", reason=str(error)
                )

    def step(self, now_s: float) -> None:
        """Does what is due.

        Raises:
            serving.SourceError: The store could not be reached.
        """
        if now_s < self._retry_at_s:
            return
        if self._must_read(now_s):
            self._read_orders(now_s)
        for trial in self._context.trials.trials:
            self._advance(trial)

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
        usual_pools = {
            pool
            for pool, version in seen
            if gate.status_of(pool, version) is serving.VersionStatus.STABLE
        }
        for pool, version, standing in gate.apply_orders(orders, seen):
            context.log.change(
                "version.standing",
                pool=pool,
                version=version,
                standing=standing.value,
            )
        for order in context.trials.apply_orders(orders, now_s):
            self._begin(order, order.pool in usual_pools)
        self._remove_evidence()

    def _begin(self, order: serving.RolloutOrder, seen_new: bool) -> None:
        """Begins a trial.

        Args:
            order: The order.
            seen_new: Whether this host saw the new targets appear; otherwise
                it started later and must learn when the order was given.
        """
        context = self._context
        fleet = context.fleet
        hosts = fleet.hosts if fleet.listed else None
        elapsed_s = 0.0
        if seen_new:
            if context.rng.random() < NOTING_HOSTS / fleet.hosts:
                self._note_begin(order)
        else:
            began = self._store.read_start(order, CALL_TIMEOUT_S)
            if began is not None:
                elapsed_s = time.time() - began
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

    def _note_begin(self, order: serving.RolloutOrder) -> None:
        try:
            self._store.record_start(order, time.time(), CALL_TIMEOUT_S)
        except serving.SourceError as error:
            # Only hosts that start during the order miss the note.
            self._context.log.failure("rollout.call_failed", reason=str(error))

    def _advance(self, trial: serving.RolloutTrial) -> None:
        """Does the next step of a trial."""
        now_s = clock.now_s()
        step = trial.next_step(now_s)
        if step is serving.TrialStep.NONE:
            return
        try:
            if step is serving.TrialStep.RECORD:
                self._record(trial)
                return
            if step is not serving.TrialStep.JUDGE:
                self._write(trial)
            if step is not serving.TrialStep.WRITE:
                self._judge(trial)
        except serving.SourceError:
            trial.delay_retry(clock.now_s())
            raise

    def _write(self, trial: serving.RolloutTrial) -> None:
        order = trial.order
        trial.mark_written(clock.now_s())
        self._written.add((order.pool, order.version))
        self._store.write_evidence(
            order.pool, trial.evidence(self._host), CALL_TIMEOUT_S
        )
        self._context.metrics.store_calls.labels("evidence", "ok").inc()

    def _judge(self, trial: serving.RolloutTrial) -> None:
        order = trial.order
        rows = self._store.read_evidence(order, CALL_TIMEOUT_S)
        self._context.metrics.store_calls.labels("evidence", "ok").inc()
        verdict = serving.judge_rollout(rows)
        trial.apply_verdict(verdict, clock.now_s())
        gate = self._context.trials.gate
        settle = gate.accept if trial.accepted else gate.revoke_acceptance
        settle(order.pool, order.version)
        counts = verdict.counts
        self._context.log.change(
            "rollout.judged",
            pool=order.pool,
            version=order.version,
            judgement=verdict.judgement.value,
            log_evidence=round(verdict.log_odds, 2),
            route=verdict.route,
            new=(counts.new_ok, counts.new_bad),
            old=(counts.old_ok, counts.old_bad),
            routes={
                route: dataclasses.astuple(row)
                for route, row in verdict.counts_by_route.items()
            },
            hosts=len(rows),
            accepted=trial.accepted,
        )

    def _record(self, trial: serving.RolloutTrial) -> None:
        """Records a decision and reads what the store made of it."""
        wanted = trial.decided_state
        if wanted is None:
            return
        recorded = self._store.record_state(trial.order, wanted, CALL_TIMEOUT_S)
        self._context.log.change(
            "rollout.recorded" if recorded else "rollout.changed_meanwhile",
            pool=trial.order.pool,
            version=trial.order.version,
            state=wanted.value,
        )
        trial.delay_retry(clock.now_s())
        self._read_orders(clock.now_s())

    def _remove_evidence(self) -> None:
        """Removes this host's counts of orders that are decided."""
        for pool, version in list(self._written):
            if self._context.trials.find(pool, version) is None:
                self._written.discard((pool, version))
                self._store.remove_evidence(
                    pool, version, self._host, CALL_TIMEOUT_S
                )
