"""Selects an engine by the state that a few candidates report.

Prefill of a prompt takes about a second, and an engine prefills queued prompts
one after another. A host's count of its own requests does not include the
prompts that other hosts have sent, so the candidates are probed first.
"""

import abc

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib

MAX_PROBED_TARGETS = 5
# Reachable engines respond within a few milliseconds. After this time the
# remaining ones are waited for only if none has responded.
REPORT_WAIT_S = 0.03
MAX_REPORT_AGE_S = 0.1
UNRESPONSIVE_BLOCK_S = 0.4
MAX_HOLDER_PROBES = 3
MAX_HOLDER_REPORT_AGE_S = 0.5

ReportedTarget = tuple[serving.TargetEntry, serving.TargetReport]


class RoomGate(abc.ABC):
    """Decides whether a request is sent to one of the engines asked."""

    @abc.abstractmethod
    def decide(
        self, reported: list[ReportedTarget]
    ) -> serving.AdmissionVerdict | None:
        """Returns the decision, or None if the memory is not considered."""


class EngineSelector:
    """Selects engines, and holders of memory copies, by their reports."""

    def __init__(self, context: context_lib.RelayContext) -> None:
        self._context = context

    def choose(
        self,
        query: serving.PlacementQuery,
        run_id: str,
        gate: RoomGate | None = None,
    ) -> serving.TargetEntry | None:
        """Returns an engine that responded, or any if there is no report.

        Args:
            query: Requirements for the engine.
            run_id: Id of the request, for the log.
            gate: Decides whether one of the engines gets the request; None if
                one always does.
        """
        placement = self._context.placement
        entries = placement.shortlist(query, MAX_PROBED_TARGETS, clock.now_s())
        reported = self._reports(entries) if len(entries) > 1 else []
        if not reported:
            return placement.choose(query, clock.now_s())
        verdict = gate.decide(reported) if gate is not None else None
        if (
            verdict is not None
            and verdict.action is not serving.AdmissionAction.OFFER
        ):
            return None
        chosen = placement.choose_by_reports(
            reported,
            clock.now_s(),
            after_loss=bool(query.excluded_ids),
            room_waits_by_id=verdict.waits_by_id if verdict else None,
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
        """Returns an engine without prompts in prefill or queue, or None."""
        reported = self._shortlist_reports(query)
        return self._choose_after_loss(
            [row for row in reported if row[1].prompts == 0]
        )

    def answering_engine(
        self, query: serving.PlacementQuery
    ) -> serving.TargetEntry | None:
        """Returns an engine that answers a probe, or None."""
        return self._choose_after_loss(self._shortlist_reports(query))

    def choose_among(
        self, entries: list[serving.TargetEntry]
    ) -> serving.TargetEntry | None:
        """Returns one of the engines that answers a probe, or None."""
        reported = self._reports(entries)
        return self._choose_after_loss(_of_same_start(reported) or reported)

    def answers(self, entry: serving.TargetEntry) -> bool:
        """Returns whether a target answers a probe, and has not restarted."""
        report = self._probe(entry, MAX_REPORT_AGE_S)
        return report is not None and report.matches_start(entry.started_ms)

    def _shortlist_reports(
        self, query: serving.PlacementQuery
    ) -> list[ReportedTarget]:
        entries = self._context.placement.shortlist(
            query, MAX_PROBED_TARGETS, clock.now_s()
        )
        return _of_same_start(self._reports(entries))

    def _choose_after_loss(
        self, reported: list[ReportedTarget]
    ) -> serving.TargetEntry | None:
        if not reported:
            return None
        return self._context.placement.choose_by_reports(
            reported, clock.now_s(), after_loss=True
        )

    def choose_holder(
        self, pool: str, runs_on: serving.TargetEntry
    ) -> serving.TargetEntry | None:
        """Returns a target for a memory copy that responded to a probe.

        Without the probe, an unresponsive holder would be detected only when
        the copy is needed.
        """
        for _ in range(MAX_HOLDER_PROBES):
            holder = self._context.placement.choose_copy_holder(
                pool, runs_on, clock.now_s()
            )
            if holder is None:
                return None
            report = self._probe(holder, MAX_HOLDER_REPORT_AGE_S)
            if (
                report is not None
                and report.matches_start(holder.started_ms)
                and self._is_available(holder)
            ):
                return holder
        return None

    def _reports(
        self, entries: list[serving.TargetEntry]
    ) -> list[ReportedTarget]:
        """Probes all entries concurrently.

        Returns:
            Those that responded and still accept requests: a report may say
            that its target does not.
        """
        greenlets = {
            entry.target_id: gevent.spawn(self._probe, entry, MAX_REPORT_AGE_S)
            for entry in entries
        }
        waiting = list(greenlets.values())
        gevent.joinall(waiting, timeout=REPORT_WAIT_S)
        if not any(row.ready() and row.value for row in waiting):
            gevent.joinall(waiting)
        return [
            (entry, report)
            for entry in entries
            if (report := greenlets[entry.target_id].value) is not None
            and self._is_available(entry)
        ]

    def _is_available(self, entry: serving.TargetEntry) -> bool:
        availability = self._context.availability
        return availability.reason_of(entry, clock.now_s()) is None

    def _probe(
        self, entry: serving.TargetEntry, age_limit_s: float
    ) -> serving.TargetReport | None:
        """Returns an engine's report; records a fault if there is none."""
        report = self._context.prober.probe(entry, age_limit_s)
        if report is None:
            self._context.loads.record_fault(
                entry.target_id, clock.now_s(), UNRESPONSIVE_BLOCK_S
            )
        return report


def _of_same_start(reported: list[ReportedTarget]) -> list[ReportedTarget]:
    """Returns the targets that have not started again since they were listed.

    One that has would answer that another target has the address, and holds no
    memory of before.
    """
    return [
        (entry, report)
        for entry, report in reported
        if report.matches_start(entry.started_ms)
    ]
