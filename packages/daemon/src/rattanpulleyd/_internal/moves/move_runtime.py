"""Runs the moves part: evidence in, version weights and verdicts out."""

from collections.abc import Callable
import json
import secrets
from typing import Any
import zlib

import gevent
import loguru

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulley_core import moves
from rattanpulley_core import peers
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.moves import verdict_store
from rattanpulleyd._internal.runtime import health

TICK_S = 0.5
EVIDENCE_TTL_S = 60.0
# A report changes only when the old version fills or empties here.
REPORT_TTL_S = 6 * 3600.0
MAX_FACT_BYTES = 65_536

Publish = Callable[[peers.FactPublished], None]


class MoveRuntime(health.HealthObserver):
    """Owns the moves part of one daemon; no method but `run_ticks` waits."""

    def __init__(
        self,
        *,
        daemon: str,
        clock: interfaces.Clock,
        config: tables.ConfigState,
        target_table: targets.TargetTable,
        store: verdict_store.VerdictStore,
    ) -> None:
        """Prepares the part.

        Args:
            daemon: Name of this daemon.
            clock: Source of time.
            config: The tables in force.
            target_table: Takes the version weights.
            store: Keeps verdicts in the object API.
        """
        self.publish: Publish | None = None
        self.system = moves.MoveManager(daemon, secrets.token_hex(8))
        self._clock = clock
        self._config = config
        self._target_table = target_table
        self._store = store
        self._pools_with_weights: set[str] = set()
        self._share_by_attempt: dict[tuple[str, int], float] = {}
        self._reported: dict[tuple[str, str], tuple[bool, bool]] = {}
        self._states_by_move: dict[str, moves.MoveState] = {}
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            moves.PublishEvidence: self._publish_evidence,
            moves.PublishVerdict: self._publish_verdict,
            moves.PublishReport: self._publish_report,
        }
        self._fact_handlers: dict[
            peers.FactKind, Callable[[Any], moves.Event]
        ] = {
            peers.FactKind.EVIDENCE: moves.batch_from_json,
            peers.FactKind.VERDICT: moves.verdict_from_json,
            peers.FactKind.MOVE_REPORT: moves.report_from_json,
        }

    def run_ticks(self) -> None:
        """Ticks until the greenlet is killed."""
        while True:
            self.tick()
            gevent.sleep(TICK_S)

    def tick(self) -> None:
        """Computes the shares and sets the version weights."""
        now_s = self._clock.monotonic_s()
        for verdict in self._store.take_learned():
            self.system.handle(verdict, now_s)
        running = self._old_running_by_pool()
        actions = self.system.tick(now_s, self._clock.wall_s(), running)
        for action in actions:
            self._action_handlers[type(action)](action)
        self._apply_weights()
        self._log_states(running)

    def apply_tables(self) -> None:
        """Takes the tables in force."""
        self.system.set_tables(self._config.routes, self._config.pools)

    def set_daemons(self, names: set[str]) -> None:
        """Takes the names of all daemons, silent ones included."""
        self.system.set_daemons(names)

    def attempt_started(self, call_id: str, attempt: int, pool: str) -> None:
        """Keeps the share with which the attempt's version was chosen."""
        share = self.system.share(pool)
        if share is not None:
            self._share_by_attempt[(call_id, attempt)] = share

    def attempt_dropped(self, call_id: str, attempt: int) -> None:
        """Forgets an attempt that tells nothing of its version."""
        self._share_by_attempt.pop((call_id, attempt), None)

    def attempt_ended(self, ended: generations.AttemptOutcome) -> None:
        """Hands the health of an attempt to the move of its pool."""
        key = (ended.generation_id, ended.attempt)
        share = self._share_by_attempt.pop(key, None)
        if share is None:
            return
        event = moves.RequestEnded(
            pool=ended.pool,
            route=ended.route,
            failure_domain=ended.failure_domain,
            target=ended.target,
            version=ended.version,
            share=share,
            result=_RESULTS[ended.result],
            first_token_s=ended.first_token_s,
            token_interval_s=ended.token_interval_s,
        )
        self.system.handle(event, self._clock.monotonic_s())

    def learn_fact(self, fact: peers.Fact) -> None:
        """Takes a fact of another daemon.

        Raises:
            ValueError: The fact is malformed.
            zlib.error: It is not compressed as expected.
        """
        text = zlib.decompress(fact.value, bufsize=MAX_FACT_BYTES)
        event = self._fact_handlers[fact.kind](json.loads(text))
        self.system.handle(event, self._clock.monotonic_s())

    def report(self) -> list[dict[str, Any]]:
        """Returns the state of every move for operators."""
        running = self._old_running_by_pool()
        return [status.to_json() for status in self.system.statuses(running)]

    def _old_running_by_pool(self) -> dict[str, int]:
        running: dict[str, int] = {}
        pools = self._config.pools.pools_by_name
        for target in self._target_table.targets_by_name.values():
            pool = pools.get(target.pool)
            if pool is None or pool.move is None:
                continue
            if target.version == pool.move.from_version:
                count = running.get(pool.name, 0)
                running[pool.name] = count + target.in_flight
        return running

    def _apply_weights(self) -> None:
        with_move = {
            name
            for name in self._config.pools.pools_by_name
            if self.system.share(name) is not None
        }
        for name in with_move:
            weights = self.system.version_weights(name)
            self._target_table.set_version_weights(name, weights)
            self._target_table.set_retry_version(
                name, self.system.retry_version(name)
            )
        for name in self._pools_with_weights - with_move:
            self._target_table.set_version_weights(name, None)
            self._target_table.set_retry_version(name, None)
        self._pools_with_weights = with_move

    def _publish_evidence(self, action: moves.PublishEvidence) -> None:
        batch = action.batch
        key = f"{batch.daemon}/{batch.boot_id}/{batch.seq}"
        value = moves.batch_to_json(batch)
        self._send(peers.FactKind.EVIDENCE, key, 1, value, EVIDENCE_TTL_S)

    def _publish_verdict(self, action: moves.PublishVerdict) -> None:
        verdict = action.verdict
        value = moves.verdict_to_json(verdict)
        self._send(peers.FactKind.VERDICT, verdict.object_key, 1, value, None)
        self._store.keep(verdict)

    def _publish_report(self, action: moves.PublishReport) -> None:
        """Publishes a report that changed.

        One report of each of 380 daemons every 5 s would exceed the control
        budget of a node.
        """
        report = action.report
        key = (report.pool, report.move_id)
        state = (report.share >= 1.0, report.old_running == 0)
        if self._reported.get(key) == state:
            return
        self._reported[key] = state
        name = f"{report.daemon}/{report.pool}/{report.move_id}"
        version = int(self._clock.wall_s() * 1000)
        value = moves.report_to_json(report)
        kind = peers.FactKind.MOVE_REPORT
        self._send(kind, name, version, value, REPORT_TTL_S)

    def _send(
        self,
        kind: peers.FactKind,
        key: str,
        version: int,
        value: Any,
        ttl_s: float | None,
    ) -> None:
        if self.publish is None:
            return
        # Evidence repeats its field names: a batch of 12 observations takes
        # 850 bytes as text and 278 compressed.
        text = json.dumps(value, separators=(",", ":"))
        data = zlib.compress(text.encode())
        self.publish(peers.FactPublished(kind, key, version, data, ttl_s))

    def _log_states(self, running: dict[str, int]) -> None:
        states: dict[str, moves.MoveState] = {}
        for status in self.system.statuses(running):
            name = f"{status.pool}/{status.move_id}"
            states[name] = status.state
            if self._states_by_move.get(name) is not status.state:
                loguru.logger.info(
                    "move {} from {} to {}: {}, {}",
                    name,
                    status.from_version,
                    status.to_version,
                    status.state.value,
                    status.reason,
                )
        self._states_by_move = states


_RESULTS = {
    generations.AttemptResult.OK: moves.Result.OK,
    generations.AttemptResult.ERROR: moves.Result.ERROR,
    generations.AttemptResult.CRASH: moves.Result.CRASH,
}
