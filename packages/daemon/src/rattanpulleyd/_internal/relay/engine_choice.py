"""Asks a few engines for their state before a long prompt is sent.

Reading a prompt takes about a second, and prompts that wait at one engine are
read one after another. What a host knows of its own requests does not show the
prompts that other hosts have sent.
"""

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib

ASKED_TARGETS = 5
# Engines in reach answer within a few milliseconds; the others are not waited
# for while one has answered.
ANSWER_WAIT_S = 0.03
REPORT_AGE_S = 0.1
SILENT_BLOCK_S = 0.4
HOLDER_TRIES = 3
HOLDER_REPORT_AGE_S = 0.5


class EngineChoice:
    """Chooses engines and holders of copies by their reports."""

    def __init__(self, context: context_lib.RelayContext) -> None:
        self._context = context

    def choose(
        self, query: serving.PlacementQuery, run_id: str
    ) -> serving.TargetEntry | None:
        """Returns an engine that answered, or any if none was asked.

        Args:
            query: What the engine is wanted for.
            run_id: The request, for the log.
        """
        placement = self._context.placement
        entries = placement.shortlist(query, ASKED_TARGETS, clock.now_s())
        reported = self._reports(entries) if len(entries) > 1 else []
        if not reported:
            return placement.choose(query, clock.now_s())
        chosen = placement.choose_by_reports(
            reported, clock.now_s(), after_loss=bool(query.excluded_ids)
        )
        self._context.log.success(
            "engine.chosen",
            request=run_id,
            target=chosen.target_id,
            reports={
                entry.target_id: (
                    report.prompts,
                    len(report.events_by_run),
                    round(report.memory_share, 2),
                )
                for entry, report in reported
            },
        )
        return chosen

    def idle_engine(
        self, query: serving.PlacementQuery
    ) -> serving.TargetEntry | None:
        """Returns an engine that reads no prompt, or None."""
        placement = self._context.placement
        entries = placement.shortlist(query, ASKED_TARGETS, clock.now_s())
        idle = [row for row in self._reports(entries) if row[1].prompts == 0]
        if not idle:
            return None
        return placement.choose_by_reports(idle, clock.now_s(), after_loss=True)

    def choose_holder(
        self, pool: str, runs_on: serving.TargetEntry
    ) -> serving.TargetEntry | None:
        """Returns a target for a copy that was alive a moment ago.

        A silent one would be found out only when the copy is needed.
        """
        for _ in range(HOLDER_TRIES):
            holder = self._context.placement.choose_copy_holder(
                pool, runs_on, clock.now_s()
            )
            if holder is None:
                return None
            if self._ask(holder, HOLDER_REPORT_AGE_S) is not None:
                return holder
        return None

    def _reports(
        self, entries: list[serving.TargetEntry]
    ) -> list[tuple[serving.TargetEntry, serving.TargetReport]]:
        """Asks all entries at once and returns those that answered."""
        greenlets = {
            entry.target_id: gevent.spawn(self._ask, entry, REPORT_AGE_S)
            for entry in entries
        }
        waiting = list(greenlets.values())
        gevent.joinall(waiting, timeout=ANSWER_WAIT_S)
        if not any(row.ready() and row.value for row in waiting):
            gevent.joinall(waiting)
        return [
            (entry, report)
            for entry in entries
            if (report := greenlets[entry.target_id].value) is not None
        ]

    def _ask(
        self, entry: serving.TargetEntry, age_limit_s: float
    ) -> serving.TargetReport | None:
        """Returns an engine's report and notes one that is silent."""
        report = self._context.prober.ask(entry, age_limit_s)
        if report is None:
            self._context.loads.record_fault(
                entry.target_id, clock.now_s(), SILENT_BLOCK_S
            )
        return report
