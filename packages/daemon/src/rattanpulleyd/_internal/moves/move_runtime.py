"""Runtime of version moves.

It passes evidence to the move manager and applies the resulting version weights
and verdicts.
"""

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

TICK_INTERVAL_S = 0.5
EVIDENCE_TTL_S = 60.0
# Long, because a report is published only when the new version reaches or
# leaves its full share, or the old version becomes idle or busy on this daemon.
REPORT_TTL_S = 6 * 3600.0
MAX_FACT_BYTES = 65_536

Publish = Callable[[peers.FactPublished], None]


class MoveRuntime(health.HealthObserver):
    """Owns the move manager of one daemon; only `run_ticks` yields.

    Attributes:
        publish: Publishes a fact to the peers, or None without peers.
        manager: The move manager of the core.
    """

    def __init__(
        self,
        *,
        daemon: str,
        clock: interfaces.Clock,
        config: tables.ConfigState,
        target_table: targets.TargetTable,
        store: verdict_store.VerdictStore,
    ) -> None:
        """Initializes the runtime.

        Args:
            daemon: Name of this daemon.
            clock: Source of time.
            config: The active tables.
            target_table: Receives the version weights.
            store: Persists verdicts in the object API.
        """
        self.publish: Publish | None = None
        self.manager = moves.MoveManager(daemon, secrets.token_hex(8))
        self._clock = clock
        self._config = config
        self._target_table = target_table
        self._store = store
        self._pools_with_weights: set[str] = set()
        self._share_by_attempt: dict[tuple[str, int], float] = {}
        self._published_states: dict[tuple[str, str], tuple[bool, bool]] = {}
        self._logged_states_by_move: dict[str, moves.MoveState] = {}
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
            gevent.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Updates the traffic shares and version weights once."""
        now_s = self._clock.monotonic_s()
        for verdict in self._store.pop_received():
            self.manager.handle(verdict, now_s)
        old_in_flight_by_pool = self._old_version_in_flight_by_pool()
        actions = self.manager.tick(
            now_s, self._clock.wall_s(), old_in_flight_by_pool
        )
        for action in actions:
            self._action_handlers[type(action)](action)
        self._apply_weights()
        self._log_states(old_in_flight_by_pool)

    def apply_tables(self) -> None:
        """Passes the active tables to the move manager."""
        self.manager.set_tables(self._config.routes, self._config.pools)

    def set_daemons(self, names: set[str]) -> None:
        """Updates the names of all daemons, including unresponsive ones."""
        self.manager.set_daemons(names)

    def attempt_started(self, call_id: str, attempt: int, pool: str) -> None:
        """Records the traffic share at the time when the version was chosen."""
        share = self.manager.share(pool)
        if share is not None:
            self._share_by_attempt[(call_id, attempt)] = share

    def attempt_discarded(self, call_id: str, attempt: int) -> None:
        """Drops the recorded share of an attempt without evidence."""
        self._share_by_attempt.pop((call_id, attempt), None)

    def attempt_ended(self, outcome: generations.AttemptOutcome) -> None:
        """Passes the outcome of an attempt to the move of its pool."""
        key = (outcome.generation_id, outcome.attempt)
        share = self._share_by_attempt.pop(key, None)
        if share is None:
            return
        event = moves.RequestEnded(
            pool=outcome.pool,
            route=outcome.route,
            failure_domain=outcome.failure_domain,
            target=outcome.target,
            version=outcome.version,
            share=share,
            result=_RESULTS_BY_ATTEMPT_RESULT[outcome.result],
            first_token_s=outcome.first_token_s,
            token_interval_s=outcome.token_interval_s,
        )
        self.manager.handle(event, self._clock.monotonic_s())

    def receive_fact(self, fact: peers.Fact) -> None:
        """Handles a fact that another daemon published.

        Raises:
            ValueError: The fact is malformed.
            zlib.error: The value is not zlib data.
        """
        text = zlib.decompress(fact.value, bufsize=MAX_FACT_BYTES)
        event = self._fact_handlers[fact.kind](json.loads(text))
        self.manager.handle(event, self._clock.monotonic_s())

    def report(self) -> list[dict[str, Any]]:
        """Returns the status of every move for the status endpoint."""
        old_in_flight_by_pool = self._old_version_in_flight_by_pool()
        return [
            status.to_json()
            for status in self.manager.statuses(old_in_flight_by_pool)
        ]

    def _old_version_in_flight_by_pool(self) -> dict[str, int]:
        old_in_flight_by_pool: dict[str, int] = {}
        pools = self._config.pools.pools_by_name
        for target in self._target_table.targets_by_name.values():
            pool = pools.get(target.pool)
            if pool is None or pool.move is None:
                continue
            if target.version == pool.move.from_version:
                count = old_in_flight_by_pool.get(pool.name, 0)
                old_in_flight_by_pool[pool.name] = count + target.in_flight
        return old_in_flight_by_pool

    def _apply_weights(self) -> None:
        moving_pools = {
            name
            for name in self._config.pools.pools_by_name
            if self.manager.share(name) is not None
        }
        for name in moving_pools:
            weights = self.manager.version_weights(name)
            self._target_table.set_version_weights(name, weights)
            self._target_table.set_retry_version(
                name, self.manager.retry_version(name)
            )
        for name in self._pools_with_weights - moving_pools:
            self._target_table.set_version_weights(name, None)
            self._target_table.set_retry_version(name, None)
        self._pools_with_weights = moving_pools

    def _publish_evidence(self, action: moves.PublishEvidence) -> None:
        batch = action.batch
        key = f"{batch.daemon}/{batch.boot_id}/{batch.seq}"
        value = moves.batch_to_json(batch)
        self._publish_fact(
            peers.FactKind.EVIDENCE, key, 1, value, EVIDENCE_TTL_S
        )

    def _publish_verdict(self, action: moves.PublishVerdict) -> None:
        verdict = action.verdict
        value = moves.verdict_to_json(verdict)
        self._publish_fact(
            peers.FactKind.VERDICT, verdict.object_key, 1, value, None
        )
        self._store.enqueue(verdict)

    def _publish_report(self, action: moves.PublishReport) -> None:
        """Publishes a report if its state changed.

        If each of 380 daemons published a report every 5 s, the traffic would
        exceed the control budget of a node.
        """
        report = action.report
        key = (report.pool, report.move_id)
        state = (report.share >= 1.0, report.old_running == 0)
        if self._published_states.get(key) == state:
            return
        self._published_states[key] = state
        name = f"{report.daemon}/{report.pool}/{report.move_id}"
        version = int(self._clock.wall_s() * 1000)
        value = moves.report_to_json(report)
        kind = peers.FactKind.MOVE_REPORT
        self._publish_fact(kind, name, version, value, REPORT_TTL_S)

    def _publish_fact(
        self,
        kind: peers.FactKind,
        key: str,
        version: int,
        value: Any,
        ttl_s: float | None,
    ) -> None:
        if self.publish is None:
            return
        # Compression pays off because evidence repeats its field names: a batch
        # of 12 observations takes 850 bytes as text and 278 compressed.
        text = json.dumps(value, separators=(",", ":"))
        data = zlib.compress(text.encode())
        self.publish(peers.FactPublished(kind, key, version, data, ttl_s))

    def _log_states(self, old_in_flight_by_pool: dict[str, int]) -> None:
        states: dict[str, moves.MoveState] = {}
        for status in self.manager.statuses(old_in_flight_by_pool):
            name = f"{status.pool}/{status.move_id}"
            states[name] = status.state
            if self._logged_states_by_move.get(name) is not status.state:
                loguru.logger.info(
                    "move {} from {} to {}: {}, {}",
                    name,
                    status.from_version,
                    status.to_version,
                    status.state.value,
                    status.reason,
                )
        self._logged_states_by_move = states


_RESULTS_BY_ATTEMPT_RESULT = {
    generations.AttemptResult.OK: moves.Result.OK,
    generations.AttemptResult.ERROR: moves.Result.ERROR,
    generations.AttemptResult.CRASH: moves.Result.CRASH,
}
