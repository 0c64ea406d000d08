"""Builds what `rattanpulley status` shows for a relay.

The fields have the names of the daemon's own status.
"""

from typing import Any

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import settings as settings_lib


class StatusReport:
    """Builds the status of one host."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        settings: settings_lib.RelaySettings,
    ) -> None:
        """Creates a report.

        Args:
            context: State of the process.
            settings: Settings of the host.
        """
        self._context = context
        self._settings = settings

    def build(self, ready: bool, draining: bool) -> dict[str, Any]:
        """Returns the report as JSON values.

        Args:
            ready: Whether the host accepts new connections.
            draining: Whether a shutdown has started.
        """
        context = self._context
        config = context.cached_config.config
        age_s = context.cached_config.age_s(clock.suspend_aware_now_s())
        return {
            "name": self._settings.name,
            "failure_domain": self._settings.domain,
            "ready": ready,
            "draining": draining,
            "tables": {
                "routes": {"version": config.version if config else None},
                "pools": {"version": context.shared_targets.log.position},
            },
            "config_age_s": round(age_s, 3) if config else None,
            "targets": self._targets(),
            "unavailable": self._unavailable(),
            "slowness": self._slowness(),
            "hosts": context.fleet.hosts,
            "crash_reports": len(context.suspects),
            "part_crash_reports": len(context.part_suspects),
            "moves": [
                self._trial_status(trial) for trial in context.trials.trials
            ],
        }

    def _targets(self) -> list[dict[str, Any]]:
        """Returns the numbers of targets by pool and version."""
        gate = self._context.trials.gate
        counts: dict[tuple[str, str], list[int]] = {}
        now_s = clock.now_s()
        for entry in self._context.targets.all_entries():
            row = counts.setdefault((entry.pool, entry.version), [0, 0])
            row[self._context.availability.is_draining(entry, now_s)] += 1
        return [
            {
                "pool": pool,
                "version": version,
                "standing": gate.status_of(pool, version).value,
                "in_use": in_use,
                "leaving": leaving,
            }
            for (pool, version), (in_use, leaving) in sorted(counts.items())
        ]

    def _unavailable(self) -> list[dict[str, Any]]:
        """Returns the targets that want no requests, and for how long."""
        now_s = clock.now_s()
        return [
            {
                "target": row.target_id,
                "reason": row.reason.value,
                "for_s": round(now_s - row.since_s, 1),
                "left_s": (
                    round(row.until_s - now_s, 1)
                    if row.until_s != float("inf")
                    else None
                ),
            }
            for row in self._context.availability.pauses(now_s)
        ]

    def _slowness(self) -> list[dict[str, Any]]:
        """Returns how long work takes at the targets that report it."""
        now_s = clock.now_s()
        loads = self._context.loads
        rows = []
        for entry in self._context.targets.all_entries():
            slowness = loads.known_slowness(entry.target_id, now_s)
            if slowness is None:
                continue
            known = loads.load_of(entry.target_id).slowness
            rows.append(
                {
                    "target": entry.target_id,
                    "expected": round(slowness, 2),
                    "reported": round(known.recent, 2),
                    "usual": round(known.usual, 2),
                    "age_s": round(now_s - known.at_s, 2),
                }
            )
        return rows

    def _trial_status(self, trial: serving.RolloutTrial) -> dict[str, Any]:
        order = trial.order
        state = "accepted" if trial.accepted else "on trial"
        if trial.decided_state is not None:
            state = trial.decided_state.value
        evidence = trial.evidence(self._settings.name)
        counts = serving.RouteCounts()
        for row in evidence.counts_by_route.values():
            counts = serving.add_counts(counts, row)
        return {
            "pool": order.pool,
            "move_id": order.version,
            "state": state,
            "share": round(trial.share, 3),
            "reason": (
                f"this host: new {counts.new_ok} good, {counts.new_bad} bad; "
                f"old {counts.old_ok} good, {counts.old_bad} bad"
            ),
        }
