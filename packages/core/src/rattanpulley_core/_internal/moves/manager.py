"""All version moves of one daemon."""

from collections.abc import Callable, Iterable, Mapping

from rattanpulley_core._internal.moves import controller
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import move_status
from rattanpulley_core._internal.moves import verdicts
from rattanpulley_core._internal.tables import rows

# Seconds between two batches of a daemon, multiplied by the number of daemons,
# so that the batches that each daemon receives per second do not grow with it.
PUBLISH_S_PER_DAEMON = 1.0
MIN_PUBLISH_S = 1.0
REPORT_INTERVAL_S = 5.0
# Added to the longest request deadline, because clocks of daemons differ.
DRAIN_MARGIN_S = 30.0


class MoveManager:
    """Runs the moves of all pools.

    Attributes:
        verdicts: All verdicts known to this daemon.
    """

    def __init__(self, daemon: str, boot_id: str) -> None:
        """Creates a manager without moves.

        Args:
            daemon: Name of this daemon.
            boot_id: Random id of this process.
        """
        self.verdicts = verdicts.VerdictSet()
        self._daemon = daemon
        self._boot_id = boot_id
        self._daemons = frozenset({daemon})
        self._pools = rows.PoolTable(0, {})
        self._routes = rows.RouteTable(0, {})
        self._controllers_by_pool: dict[str, controller.MoveController] = {}
        self._seq = 0
        self._last_seq_by_process: dict[tuple[str, str], int] = {}
        self._published_s: float | None = None
        self._reported_s: float | None = None
        self._last_tick = (0.0, 0.0)
        self._handlers: dict[type, Callable[..., None]] = {
            messages.RequestEnded: self._on_request,
            messages.EvidenceBatch: self._on_batch,
            messages.Verdict: self._on_verdict,
            messages.DaemonReport: self._on_report,
        }

    def set_tables(
        self, routes: rows.RouteTable, pools: rows.PoolTable
    ) -> None:
        """Applies the active tables."""
        self._routes = routes
        self._pools = pools
        self._rebuild_controllers()

    def set_daemons(self, names: Iterable[str]) -> None:
        """Sets the names of all daemons, including unresponsive ones.

        A move is done only when every one of them has reported.
        """
        self._daemons = frozenset(names) | {self._daemon}
        self._rebuild_controllers()

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Handles an event.

        Args:
            event: An ended request, or a fact from a peer or the store.
            now_s: Monotonic seconds.

        Returns:
            An empty list; `tick` evaluates the evidence. The return type is
            that of the library's other `handle` methods.
        """
        self._handlers[type(event)](event, now_s)
        return []

    def tick(
        self,
        now_s: float,
        wall_s: float,
        old_running_by_pool: Mapping[str, int],
    ) -> list[messages.Action]:
        """Computes the shares; called about once a second.

        Args:
            now_s: Monotonic seconds.
            wall_s: Unix seconds.
            old_running_by_pool: Requests of this daemon in flight on the old
                version, by pool; an absent pool has none.
        """
        self._last_tick = (now_s, wall_s)
        actions: list[messages.Action] = []
        for move_controller in self._controllers_by_pool.values():
            found = move_controller.tick(now_s, wall_s)
            if found is not None:
                actions.append(messages.PublishVerdict(found))
        actions.extend(self._publish(now_s))
        actions.extend(self._report(now_s, old_running_by_pool))
        return actions

    def share(self, pool: str) -> float | None:
        """Returns the share of a pool's new version; None without a move."""
        move_controller = self._controllers_by_pool.get(pool)
        return None if move_controller is None else move_controller.share

    def version_weights(self, pool: str) -> dict[str, float]:
        """Returns the weights of the versions of a pool for new requests.

        Versions outside the move keep their weight. The sum of the weights of
        the move's two versions is divided between them by the share.

        Args:
            pool: Name of the pool; an unknown one has no versions.
        """
        row = self._pools.pools_by_name.get(pool)
        if row is None:
            return {}
        weights = {v.name: v.weight for v in row.versions_by_name.values()}
        share = self.share(pool)
        if row.move is None or share is None:
            return weights
        old, new = row.move.from_version, row.move.to_version
        both = (weights[old] + weights[new]) or 1.0
        weights[old] = both * (1.0 - share)
        weights[new] = both * share
        return weights

    def retry_version(self, pool: str) -> str | None:
        """Returns the old version of a move that is open or unproven.

        Without traffic the share reaches 1 before a bad version is detected.
        Until the deadline, failed requests are retried on the old version, and
        after it for as long as no request of the new version has succeeded.
        """
        move_controller = self._controllers_by_pool.get(pool)
        return (
            None if move_controller is None else move_controller.retry_version
        )

    def statuses(
        self, old_running_by_pool: Mapping[str, int]
    ) -> list[move_status.MoveStatus]:
        """Returns the status of every move for operators."""
        return [
            move_controller.status(
                self._daemons, old_running_by_pool.get(pool, 0)
            )
            for pool, move_controller in self._controllers_by_pool.items()
        ]

    def _rebuild_controllers(self) -> None:
        present = self._controllers_by_pool
        self._controllers_by_pool = {}
        for name, pool in self._pools.pools_by_name.items():
            if pool.move is None:
                continue
            parameters = self._parameters(pool, pool.move)
            move_controller = present.get(name)
            if move_controller is not None and _is_same_move(
                move_controller.move, pool.move
            ):
                move_controller.update_plan(parameters)
            else:
                move_controller = controller.MoveController(
                    parameters, self.verdicts
                )
            self._controllers_by_pool[name] = move_controller
        if not self._controllers_by_pool:
            # Otherwise entries of ended processes would accumulate.
            self._last_seq_by_process.clear()

    def _parameters(
        self, pool: rows.Pool, move: rows.Move
    ) -> controller.MoveParameters:
        routes = [
            route
            for route in self._routes.routes_by_name.values()
            if route.pool == pool.name
        ]
        longest_s = max((route.deadline_s for route in routes), default=0.0)
        return controller.MoveParameters(
            daemon=self._daemon,
            pool=pool,
            move=move,
            route_count=len(routes),
            daemon_count=len(self._daemons),
            drain_s=longest_s + DRAIN_MARGIN_S,
        )

    def _on_request(self, event: messages.RequestEnded, now_s: float) -> None:
        move_controller = self._controllers_by_pool.get(event.pool)
        if move_controller is not None:
            tick_now_s, tick_wall_s = self._last_tick
            move_controller.evidence.observe(
                event, tick_wall_s + now_s - tick_now_s
            )

    def _on_batch(self, event: messages.EvidenceBatch, now_s: float) -> None:
        key = (event.daemon, event.boot_id)
        if event.seq <= self._last_seq_by_process.get(key, 0):
            return
        self._last_seq_by_process[key] = event.seq
        move_controller = self._find_controller(event.pool, event.move_id)
        if move_controller is not None and event.daemon != self._daemon:
            move_controller.evidence.apply_peer(event)

    def _on_verdict(self, event: messages.Verdict, now_s: float) -> None:
        self.verdicts.add(event)

    def _on_report(self, event: messages.DaemonReport, now_s: float) -> None:
        move_controller = self._find_controller(event.pool, event.move_id)
        if move_controller is not None:
            move_controller.record_report(event)

    def _find_controller(
        self, pool: str, move_id: str
    ) -> controller.MoveController | None:
        move_controller = self._controllers_by_pool.get(pool)
        if move_controller is None or move_controller.move.move_id != move_id:
            return None
        return move_controller

    def _publish(self, now_s: float) -> list[messages.Action]:
        interval_s = max(
            MIN_PUBLISH_S, PUBLISH_S_PER_DAEMON * len(self._daemons)
        )
        if self._published_s is not None and (
            now_s - self._published_s < interval_s
        ):
            return []
        self._published_s = now_s
        actions: list[messages.Action] = []
        for pool, move_controller in self._controllers_by_pool.items():
            observations = move_controller.evidence.pop_unpublished()
            if observations and len(self._daemons) > 1:
                self._seq += 1
                batch = messages.EvidenceBatch(
                    self._daemon,
                    self._boot_id,
                    self._seq,
                    pool,
                    move_controller.move.move_id,
                    observations,
                )
                actions.append(messages.PublishEvidence(batch))
        return actions

    def _report(
        self, now_s: float, old_running_by_pool: Mapping[str, int]
    ) -> list[messages.Action]:
        if self._reported_s is not None and (
            now_s - self._reported_s < REPORT_INTERVAL_S
        ):
            return []
        self._reported_s = now_s
        return [
            messages.PublishReport(
                move_controller.report(old_running_by_pool.get(pool, 0))
            )
            for pool, move_controller in self._controllers_by_pool.items()
            if move_controller.share >= 1.0
        ]


def _is_same_move(first: rows.Move, second: rows.Move) -> bool:
    """Returns whether evidence on one move is valid for the other."""
    return (first.move_id, first.from_version, first.to_version) == (
        second.move_id,
        second.from_version,
        second.to_version,
    )
