"""Table of targets, from the pools table and the host list."""

from collections.abc import Iterable

from rattanpulley_core._internal.tables import rows as table_rows
from rattanpulley_core._internal.targets import hosts
from rattanpulley_core._internal.targets import loads
from rattanpulley_core._internal.targets import rows


class TargetTable:
    """All targets known to this daemon.

    The pools table defines which targets exist; the host list only marks which
    of them are leaving. Absence from the host list changes nothing, because the
    list lags.
    """

    def __init__(self, own_failure_domain: str) -> None:
        self.own_failure_domain = own_failure_domain
        self.targets_by_name: dict[str, rows.Target] = {}
        self._weights_by_pool: dict[str, dict[str, float]] = {}
        self._override_by_pool: dict[str, dict[str, float]] = {}
        self._retry_version_by_pool: dict[str, str] = {}
        self._leaving_names: frozenset[str] = frozenset()

    def get(self, name: str) -> rows.Target | None:
        """Returns the target's row, or None."""
        return self.targets_by_name.get(name)

    def apply_pools(
        self, pool_table: table_rows.PoolTable, now_s: float
    ) -> None:
        """Applies the pools table; removed targets receive no new work."""
        named: set[str] = set()
        is_first = not self.targets_by_name
        for pool in pool_table.pools_by_name.values():
            for spec in pool.targets_by_name.values():
                named.add(spec.name)
                target = self._apply_spec(pool, spec, now_s)
                if target is not None and not is_first:
                    target.load.live_since_s = now_s
        for target in list(self.targets_by_name.values()):
            if target.name not in named:
                target.in_pool = False
                self.remove_unused(target)
        self._weights_by_pool = {
            pool.name: {
                version.name: version.weight
                for version in pool.versions_by_name.values()
            }
            for pool in pool_table.pools_by_name.values()
        }

    def apply_hosts(
        self, entries: Iterable[hosts.HostEntry], now_s: float
    ) -> None:
        """Applies which targets the platform's host list marks as leaving."""
        states_by_name = {entry.name: entry.state for entry in entries}
        leaving = {
            name
            for name, state in states_by_name.items()
            if state is hosts.HostState.LEAVING
        }
        kept = self._leaving_names - set(states_by_name)
        self._leaving_names = frozenset(leaving | kept)
        for target in self.targets_by_name.values():
            target.leaving_by_list = target.name in self._leaving_names
            target.update_leaving(now_s)

    def apply_load(
        self, name: str, report: loads.LoadReport, now_s: float
    ) -> None:
        """Applies a load report of a target."""
        target = self.targets_by_name.get(name)
        if target is not None:
            waiting = target.awaiting_first_token
            target.load.apply_report(
                report, target.in_flight - waiting, waiting, now_s
            )

    def set_version_weights(
        self, pool: str, weights_by_version: dict[str, float] | None
    ) -> None:
        """Sets shares of new work that replace the pool's own weights.

        Args:
            pool: Name of the pool.
            weights_by_version: Shares, or None to use the pool's weights.
        """
        if weights_by_version is None:
            self._override_by_pool.pop(pool, None)
        else:
            self._override_by_pool[pool] = dict(weights_by_version)

    def set_retry_version(self, pool: str, version: str | None) -> None:
        """Sets the version on which failed requests are retried.

        Args:
            pool: Name of the pool.
            version: Version without a share of new work, or None.
        """
        if version is None:
            self._retry_version_by_pool.pop(pool, None)
        else:
            self._retry_version_by_pool[pool] = version

    def retry_version(self, pool: str) -> str | None:
        """Returns the version on which failed requests are retried, or None."""
        return self._retry_version_by_pool.get(pool)

    def version_weights(self, pool: str) -> dict[str, float]:
        """Returns the shares of new work by version."""
        override = self._override_by_pool.get(pool)
        if override is not None:
            return override
        return self._weights_by_pool.get(pool, {})

    def has_pool(self, pool: str) -> bool:
        """Returns whether the pools table contains the pool."""
        return pool in self._weights_by_pool

    def has_version(self, pool: str, version: str) -> bool:
        """Returns whether the pool has a target of the version."""
        return any(
            target.pool == pool and target.version == version and target.in_pool
            for target in self.targets_by_name.values()
        )

    def remove_unused(self, target: rows.Target) -> None:
        """Removes a target that is not in the pools table and has no work."""
        if not target.in_pool and target.in_flight == 0:
            self.targets_by_name.pop(target.name, None)

    def _apply_spec(
        self,
        pool: table_rows.Pool,
        spec: table_rows.TargetSpec,
        now_s: float,
    ) -> rows.Target | None:
        """Applies a row of the pools table; returns the target if it is new."""
        target = self.targets_by_name.get(spec.name)
        if target is None:
            target = rows.Target(
                name=spec.name,
                url=spec.url,
                failure_domain=spec.failure_domain,
                kind=pool.kind,
                pool=pool.name,
                version=spec.version,
            )
            self.targets_by_name[spec.name] = target
            target.leaving_by_list = spec.name in self._leaving_names
            target.update_leaving(now_s)
            return target
        target.url = spec.url
        target.failure_domain = spec.failure_domain
        target.kind = pool.kind
        target.pool = pool.name
        target.version = spec.version
        target.in_pool = True
        return None
