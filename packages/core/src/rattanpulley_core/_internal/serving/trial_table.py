"""Canary trials that run on one host."""

import random

from rattanpulley_core._internal.serving import rollout_trial
from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import versions

# A host whose last read of the orders is older than this may have missed the
# rollback of a version.
ORDERS_AGE_LIMIT_S = 4.0


class TrialTable:
    """Canary trial of each pool, and the time when the orders were read."""

    def __init__(
        self,
        gate: versions.VersionGate,
        share: float,
        slack: float,
        rng: random.Random,
    ) -> None:
        """Creates an empty table.

        Args:
            gate: Status of the versions.
            share: Share of a pool's requests that a bad version may receive.
            slack: Requests that it may receive in addition, over all hosts.
            rng: Random number generator.
        """
        self._gate = gate
        self._share = share
        self._slack = slack
        self._rng = rng
        self._trials_by_pool: dict[str, rollout_trial.RolloutTrial] = {}
        self._read_at_s = float("-inf")

    def set_bounds(self, share: float, slack: float) -> None:
        """Sets the bounds of the trials that begin from now on.

        Args:
            share: Share of a pool's requests that a bad version may receive.
            slack: Requests that it may receive in addition, over all hosts.
        """
        self._share = share
        self._slack = slack

    @property
    def trials(self) -> list[rollout_trial.RolloutTrial]:
        """All active trials."""
        return list(self._trials_by_pool.values())

    @property
    def gate(self) -> versions.VersionGate:
        """Status of the versions."""
        return self._gate

    def find(
        self, pool: str, version: str
    ) -> rollout_trial.RolloutTrial | None:
        """Returns the active trial of a version, or None."""
        trial = self._trials_by_pool.get(pool)
        if trial is None or trial.order.version != version:
            return None
        return trial

    def begin(
        self,
        order: rollouts.RolloutOrder,
        started_at_s: float,
        hosts: int | None,
    ) -> None:
        """Starts the trial of an open order.

        Args:
            order: The order.
            started_at_s: Start of the order, as far as this host knows.
            hosts: Number of hosts, or None if it is unknown.
        """
        bounds = rollout_trial.TrialBounds(self._share, self._slack, hosts)
        self._trials_by_pool[order.pool] = rollout_trial.RolloutTrial(
            order, started_at_s, bounds, self._rng
        )

    def apply_orders(
        self, orders: tuple[rollouts.RolloutOrder, ...], sent_at_s: float
    ) -> list[rollouts.RolloutOrder]:
        """Updates the trials and ends those whose order is no longer open.

        Args:
            orders: All orders.
            sent_at_s: Time when the read was sent.

        Returns:
            Open orders that have no trial yet.
        """
        self._read_at_s = sent_at_s
        open_by_pool = {
            row.pool: row
            for row in orders
            if row.state is rollouts.OrderState.OPEN
        }
        for pool, trial in list(self._trials_by_pool.items()):
            order = open_by_pool.get(pool)
            if order is None or order.version != trial.order.version:
                del self._trials_by_pool[pool]
            else:
                trial.order = order
        return [
            row
            for row in open_by_pool.values()
            if row.pool not in self._trials_by_pool
        ]

    def admit_request(self, pool: str, route: str, now_s: float) -> bool:
        """Counts a request and returns whether it goes to the new version.

        Args:
            pool: Name of the pool.
            route: Name of the route.
            now_s: Current time.
        """
        trial = self._trials_by_pool.get(pool)
        if trial is None or trial.decided_state is not None:
            return False
        if now_s - self._read_at_s > ORDERS_AGE_LIMIT_S:
            return False
        return trial.admit_request(route)

    def record_answer(
        self,
        pool: str,
        version: str,
        route: str,
        is_bad: bool,
        latency_s: float | None,
    ) -> None:
        """Records the response to the first attempt of a request.

        Args:
            pool: Name of the pool.
            version: Version of the target.
            route: Name of the route.
            is_bad: Whether the attempt failed.
            latency_s: Seconds to the response or to the first event of a
                stream; None if there was none.
        """
        trial = self._trials_by_pool.get(pool)
        if trial is not None:
            is_new = version == trial.order.version
            trial.record_answer(route, is_new, is_bad, latency_s)
