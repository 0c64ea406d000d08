"""The trials of new versions that run on one host."""

import random

from rattanpulley_core._internal.serving import rollout_trial
from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import versions

# A host that has not read the orders for longer may have missed that a version
# was taken back.
ORDERS_AGE_LIMIT_S = 4.0


class TrialTable:
    """Trials by pool, and the age of the orders."""

    def __init__(
        self,
        gate: versions.VersionGate,
        share: float,
        slack: float,
        rng: random.Random,
    ) -> None:
        """Creates an empty table.

        Args:
            gate: Standing of the versions.
            share: Share of a pool's requests that a bad version may get.
            slack: Requests that it may get beyond the share, over all hosts.
            rng: Source of randomness.
        """
        self._gate = gate
        self._share = share
        self._slack = slack
        self._rng = rng
        self._trials_by_pool: dict[str, rollout_trial.RolloutTrial] = {}
        self._read_at_s = float("-inf")

    @property
    def trials(self) -> list[rollout_trial.RolloutTrial]:
        """All trials that run."""
        return list(self._trials_by_pool.values())

    @property
    def gate(self) -> versions.VersionGate:
        """Standing of the versions."""
        return self._gate

    def find(
        self, pool: str, version: str
    ) -> rollout_trial.RolloutTrial | None:
        """Returns the trial of a version if it runs."""
        trial = self._trials_by_pool.get(pool)
        if trial is None or trial.order.version != version:
            return None
        return trial

    def begin(
        self, order: rollouts.RolloutOrder, began_s: float, hosts: int | None
    ) -> None:
        """Begins the trial of an open order."""
        bounds = rollout_trial.TrialBounds(self._share, self._slack, hosts)
        self._trials_by_pool[order.pool] = rollout_trial.RolloutTrial(
            order, began_s, bounds, self._rng
        )

    def apply_orders(
        self, orders: tuple[rollouts.RolloutOrder, ...], sent_at_s: float
    ) -> list[rollouts.RolloutOrder]:
        """Takes all orders; ends the trials whose order is decided.

        Args:
            orders: All orders.
            sent_at_s: When the read was sent.

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
        """Returns whether a request goes to the version on trial."""
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
        took_s: float | None,
    ) -> None:
        """Takes the answer to the first attempt of a request."""
        trial = self._trials_by_pool.get(pool)
        if trial is not None:
            is_new = version == trial.order.version
            trial.record_answer(route, is_new, is_bad, took_s)
