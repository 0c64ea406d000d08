"""All moves of one daemon."""

from collections.abc import Callable, Iterable, Mapping

from rattanpulley_core._internal.moves import controller
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import verdicts
from rattanpulley_core._internal.tables import rows

# Seconds per daemon between two batches of a daemon, so that the batches of
# all daemons cost each of them the same at every number of daemons.
PUBLISH_S_PER_DAEMON = 1.0
MIN_PUBLISH_S = 1.0
REPORT_INTERVAL_S = 5.0
# Added to the longest deadline of a request: clocks of daemons differ.
DRAIN_MARGIN_S = 30.0


class MoveManager:
    """Runs the moves of all pools.

    Attributes:
        verdicts: All verdicts that this daemon knows.
    """

    def __init__(self, daemon: str, boot_id: str) -> None:
        """Starts without moves.

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
        self._seen_seq: dict[tuple[str, str], int] = {}
        self._published_s: float | None = None
        self._reported_s: float | None = None
        self._clock = (0.0, 0.0)
        self._handlers: dict[type, Callable[..., None]] = {
            messages.RequestEnded: self._on_request,
            messages.EvidenceBatch: self._on_batch,
            messages.Verdict: self._on_verdict,
            messages.DaemonReport: self._on_report,
        }

    def set_tables(
        self, routes: rows.RouteTable, pools: rows.PoolTable
    ) -> None:
        """Takes the tables in force."""
        self._routes = routes
        self._pools = pools
        self._renew_controllers()

    def set_daemons(self, names: Iterable[str]) -> None:
        """Takes the names of all daemons, silent ones included.

        A move is done only when every one of them has reported.
        """
        self._daemons = frozenset(names) | {self._daemon}
        self._renew_controllers()

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Takes an event.

        Args:
            event: A request that ended, or a fact of a peer or the store.
            now_s: Monotonic seconds.

        Returns:
            No actions; evidence is judged in `tick`. The list keeps the form
            of the other parts.
        """
        self._handlers[type(event)](event, now_s)
        return []

    def tick(
        self,
        now_s: float,
        wall_s: float,
        old_running_by_pool: Mapping[str, int],
    ) -> list[messages.Action]:
        """Computes the shares; to be called about once a second.

        Args:
            now_s: Monotonic seconds.
            wall_s: Unix seconds.
            old_running_by_pool: Requests that this daemon runs on the version
                to empty, by pool; an absent pool has none.
        """
        self._clock = (now_s, wall_s)
        actions: list[messages.Action] = []
        for item in self._controllers_by_pool.values():
            found = item.tick(now_s, wall_s)
            if found is not None:
                actions.append(messages.PublishVerdict(found))
        actions.extend(self._publish(now_s))
        actions.extend(self._report(now_s, old_running_by_pool))
        return actions

    def share(self, pool: str) -> float | None:
        """Returns the share of a pool's new version; None without a move."""
        item = self._controllers_by_pool.get(pool)
        return None if item is None else item.share

    def version_weights(self, pool: str) -> dict[str, float]:
        """Returns the weights with which new requests choose a version.

        Versions outside of the move keep their weight. The two versions of the
        move divide the sum of their weights by the share.

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
        """Returns the old version of a move until its date or verdict.

        Without traffic the share reaches all requests before a bad version is
        noticed. Until the date, a request that failed goes back.
        """
        item = self._controllers_by_pool.get(pool)
        return None if item is None else item.retry_version

    def statuses(
        self, old_running_by_pool: Mapping[str, int]
    ) -> list[controller.MoveStatus]:
        """Returns the state of every move for operators."""
        return [
            item.status(self._daemons, old_running_by_pool.get(pool, 0))
            for pool, item in self._controllers_by_pool.items()
        ]

    def _renew_controllers(self) -> None:
        present = self._controllers_by_pool
        self._controllers_by_pool = {}
        for name, pool in self._pools.pools_by_name.items():
            if pool.move is None:
                continue
            setup = self._setup(pool, pool.move)
            item = present.get(name)
            if item is not None and _is_same(item.move, pool.move):
                item.replan(setup)
            else:
                item = controller.MoveController(setup, self.verdicts)
            self._controllers_by_pool[name] = item
        if not self._controllers_by_pool:
            # Numbers of processes that have ended would pile up otherwise.
            self._seen_seq.clear()

    def _setup(self, pool: rows.Pool, move: rows.Move) -> controller.MoveSetup:
        routes = [
            route
            for route in self._routes.routes_by_name.values()
            if route.pool == pool.name
        ]
        longest_s = max((route.deadline_s for route in routes), default=0.0)
        return controller.MoveSetup(
            daemon=self._daemon,
            pool=pool,
            move=move,
            route_count=len(routes),
            daemon_count=len(self._daemons),
            drain_s=longest_s + DRAIN_MARGIN_S,
        )

    def _on_request(self, event: messages.RequestEnded, now_s: float) -> None:
        item = self._controllers_by_pool.get(event.pool)
        if item is not None:
            tick_now_s, tick_wall_s = self._clock
            item.evidence.observe(event, tick_wall_s + now_s - tick_now_s)

    def _on_batch(self, event: messages.EvidenceBatch, now_s: float) -> None:
        key = (event.daemon, event.boot_id)
        if event.seq <= self._seen_seq.get(key, 0):
            return
        self._seen_seq[key] = event.seq
        item = self._find(event.pool, event.move_id)
        if item is not None and event.daemon != self._daemon:
            item.evidence.apply_peer(event)

    def _on_verdict(self, event: messages.Verdict, now_s: float) -> None:
        self.verdicts.add(event)

    def _on_report(self, event: messages.DaemonReport, now_s: float) -> None:
        item = self._find(event.pool, event.move_id)
        if item is not None:
            item.learn_report(event)

    def _find(
        self, pool: str, move_id: str
    ) -> controller.MoveController | None:
        item = self._controllers_by_pool.get(pool)
        if item is None or item.move.move_id != move_id:
            return None
        return item

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
        for pool, item in self._controllers_by_pool.items():
            observations = item.evidence.take_unpublished()
            if observations and len(self._daemons) > 1:
                self._seq += 1
                batch = messages.EvidenceBatch(
                    self._daemon,
                    self._boot_id,
                    self._seq,
                    pool,
                    item.move.move_id,
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
                item.report(old_running_by_pool.get(pool, 0))
            )
            for pool, item in self._controllers_by_pool.items()
            if item.share >= 1.0
        ]


def _is_same(first: rows.Move, second: rows.Move) -> bool:
    """Returns whether evidence on one move counts for the other."""
    return (first.move_id, first.from_version, first.to_version) == (
        second.move_id,
        second.from_version,
        second.to_version,
    )
