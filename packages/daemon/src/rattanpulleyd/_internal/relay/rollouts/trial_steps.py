"""Executes the steps of this host's canary trials.

Hosts share their counts through the store. The first host that reaches a
decision records it with a conditional write.
"""

import dataclasses

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay.rollouts import version_recorder

CALL_TIMEOUT_S = 0.9


class TrialSteps:
    """Writes and judges the counts of trials, and records their decisions."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        store: serving.RolloutStore,
        recorder: version_recorder.VersionRecorder,
        host: str,
    ) -> None:
        """Creates the steps of a host without calling the store.

        Args:
            context: State of the process.
            store: Holds the orders and the evidence of all hosts.
            recorder: Keeps the records of ordered versions.
            host: Name of this host.
        """
        self._context = context
        self._store = store
        self._recorder = recorder
        self._host = host
        self._written: set[tuple[str, str]] = set()

    def advance(self, trial: serving.RolloutTrial) -> bool:
        """Executes the step of a trial that is due.

        Returns:
            Whether a decision was sent to the store, after which the orders
            must be read again.

        Raises:
            serving.SourceError: The store could not be reached.
        """
        step = trial.next_step(clock.now_s())
        if step is serving.TrialStep.NONE:
            return False
        try:
            if step is serving.TrialStep.RECORD:
                return self._record(trial)
            if step is not serving.TrialStep.JUDGE:
                self._write(trial)
            if step is not serving.TrialStep.WRITE:
                self._judge(trial)
        except serving.SourceError:
            trial.delay_retry(clock.now_s())
            raise
        return False

    def remove_evidence(self) -> None:
        """Removes this host's evidence for orders that are decided."""
        for pool, version in list(self._written):
            if self._context.trials.find(pool, version) is None:
                self._written.discard((pool, version))
                self._store.remove_evidence(
                    pool, version, self._host, CALL_TIMEOUT_S
                )

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

    def _record(self, trial: serving.RolloutTrial) -> bool:
        """Records a decision."""
        wanted = trial.decided_state
        if wanted is None:
            return False
        recorded = self._store.record_state(trial.order, wanted, CALL_TIMEOUT_S)
        self._context.log.change(
            "rollout.recorded" if recorded else "rollout.changed_meanwhile",
            pool=trial.order.pool,
            version=trial.order.version,
            state=wanted.value,
        )
        if recorded:
            self._recorder.expect_own_decision(trial.order, wanted)
        trial.delay_retry(clock.now_s())
        return True
