"""Builds the relay of one entry host and runs it until SIGTERM or SIGINT."""

import abc
from collections.abc import Callable
import dataclasses
import random
import signal
from typing import Any
import uuid

import gevent
from gevent import event

from rattanpulley_core import serving
from rattanpulley_core import suspects
from rattanpulleyd import exceptions
from rattanpulleyd._internal.relay import byte_budget
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import connection_limits
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import decision_log
from rattanpulleyd._internal.relay import listener as listener_lib
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import pages
from rattanpulleyd._internal.relay import peer_reader
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import settings as settings_lib
from rattanpulleyd._internal.relay import state_exchange
from rattanpulleyd._internal.relay import status_report
from rattanpulleyd._internal.relay import suspect_sharing
from rattanpulleyd._internal.relay import target_announcements
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health
from rattanpulleyd._internal.relay import target_prober
from rattanpulleyd._internal.relay import target_reports
from rattanpulleyd._internal.relay import tasks
from rattanpulleyd._internal.relay import wire
from rattanpulleyd._internal.relay.refresh import config_refresh
from rattanpulleyd._internal.relay.refresh import fleet_refresh
from rattanpulleyd._internal.relay.refresh import target_refresh
from rattanpulleyd._internal.relay.rollouts import order_watch

LOOP_GAP_INTERVAL_S = 0.25
SETTINGS_CHECK_S = 5.0


class Store(
    serving.ServingSource,
    serving.RolloutStore,
    serving.HostDirectory,
):
    """Interface for all calls to the platform's store."""

    @abc.abstractmethod
    def suspect_records(
        self, kind: suspects.SuspectKind
    ) -> serving.SuspectStore:
        """Returns the records of what is refused because it crashes targets."""


class RelayProgram:
    """The relay process of one entry host."""

    def __init__(
        self,
        load_settings: Callable[[], settings_lib.RelaySettings],
        names: wire.HeaderNames,
        store: Store,
        copy_calls: memory_copies.MemoryCopyCalls,
        report_reader: target_reports.TargetReportReader,
        readiness_path: str,
    ) -> None:
        """Builds the components from the settings.

        Args:
            load_settings: Reads the current settings of the host.
            names: Header names of the deployment.
            store: The platform's store.
            copy_calls: Encodes the calls that copy a run's memory.
            report_reader: Decodes the reports of targets.
            readiness_path: Path that the balancer requests.
        """
        settings = load_settings()
        self._load_settings = load_settings
        self._settings = settings
        self._context = _build_context(settings, names, report_reader)
        self._store = store
        max_descriptors = settings.machine.max_descriptors
        self._listener = listener_lib.Listener(
            self._context, settings.clients, copy_calls, max_descriptors
        )
        max_pages = connection_limits.page_connections(max_descriptors)
        self._readiness = pages.readiness_server(
            settings.readiness, readiness_path, self._ready, max_pages
        )
        self._metrics = None
        if settings.metrics is not None:
            self._metrics = pages.metrics_server(
                settings.metrics,
                self._context.metrics,
                self._status,
                max_pages,
            )
        self._exchange = None
        if settings.exchange is not None:
            endpoints = state_exchange.StateEndpoints(self._context)
            self._exchange = pages.server(
                settings.exchange, endpoints.app(), max_pages
            )
        own = fleet_refresh.own_entry(settings)
        self._membership = fleet_refresh.FleetRefresh(self._context, store, own)
        self._peers = peer_reader.PeerReader(self._context, own)
        self._config_refresh = config_refresh.ConfigRefresh(
            self._context,
            store,
            self._peers,
            settings.bounds.config_activation_s,
        )
        self._target_refresh = target_refresh.TargetRefresh(
            self._context, store, self._peers, settings.bounds.target_leave_s
        )
        self._stop = event.Event()

    def _status(self) -> dict[str, Any]:
        report = status_report.StatusReport(self._context, self._settings)
        return report.build(self._ready(), self._listener.stopping)

    def _ready(self) -> bool:
        if self._listener.stopping or not self._context.targets.listed:
            return False
        return self._context.cached_config.ready(clock.suspend_aware_now_s())

    def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains requests and returns."""
        log = self._context.log
        metrics = self._context.metrics
        tasks.spawn(log, metrics, log.write_forever)
        log.change("process.started", domain=self._settings.domain)
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGINT, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload, "signal")
        name = self._settings.name
        rollouts = order_watch.RolloutWatch(self._context, self._store, name)
        sharings = [
            suspect_sharing.SuspectSharing(
                self._context,
                self._store.suspect_records(kind),
                self._peers,
                kind,
            )
            for kind in suspects.SuspectKind
        ]
        for run in (
            self._config_refresh.run_forever,
            self._target_refresh.run_forever,
            rollouts.run_forever,
            self._membership.run_forever,
            self._context.announcements.run_forever,
            self._context.byte_budget.run_forever,
            *(sharing.run_forever for sharing in sharings),
            self._watch_loop_gaps,
            self._watch_settings,
        ):
            tasks.spawn(log, metrics, run)
        self._listener.start()
        self._readiness.start()
        if self._metrics is not None:
            self._metrics.start()
        if self._exchange is not None:
            self._exchange.start()
        self._stop.wait()
        log.change("process.stopping")
        gevent.spawn(self._membership.withdraw)
        self._listener.stop(self._settings.bounds.shutdown_grace_s)
        log.change("process.stopped")
        log.flush_now()

    def _reload(self, cause: str) -> None:
        """Applies changed settings, except for the addresses listened on.

        Args:
            cause: What triggered the reload, for the log.
        """
        try:
            settings = self._load_settings()
        except exceptions.SettingsError as error:
            self._context.log.failure(
                "settings.refused", cause=cause, reason=str(error)
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = settings
        self._store.set_store_address(settings.store.host, settings.store.port)
        self._apply_bounds(settings.bounds)
        self._context.byte_budget.set_memory(settings.machine.memory_bytes)
        self._context.log.change(
            "settings.reloaded", cause=cause, changed=changed
        )

    def _apply_bounds(self, bounds: settings_lib.RelayBounds) -> None:
        """Sets the bounds of all that keeps them.

        A stop reads the grace period when it begins, and a trial of a new
        version keeps its bounds.
        """
        context = self._context
        context.cached_config.set_key_age_limit(bounds.key_removal_s)
        context.cached_config.set_activation(bounds.config_activation_s)
        context.retry_budget.set_bounds(
            bounds.retry_window_s, bounds.retry_ratio, bounds.retry_slack
        )
        context.trials.set_bounds(bounds.exposed_share, bounds.exposed_slack)
        self._config_refresh.set_activation(bounds.config_activation_s)
        self._target_refresh.set_leaving(bounds.target_leave_s)

    def _watch_settings(self) -> None:
        """Reloads settings that change without a signal."""
        while True:
            gevent.sleep(SETTINGS_CHECK_S)
            try:
                changed = self._load_settings() != self._settings
            except exceptions.SettingsError:
                # The file may be read while it is being written; a permanent
                # error is reported on a reload by signal.
                continue
            if changed:
                self._reload("file")

    def _watch_loop_gaps(self) -> None:
        """Records the longest time in which the event loop ran no greenlet."""
        gauge = self._context.metrics.loop_gap_seconds
        longest_s = 0.0
        while True:
            sleep_started_s = clock.now_s()
            gevent.sleep(LOOP_GAP_INTERVAL_S)
            gap_s = clock.now_s() - sleep_started_s - LOOP_GAP_INTERVAL_S
            longest_s = max(longest_s, gap_s)
            gauge.set(longest_s)


def _build_context(
    settings: settings_lib.RelaySettings,
    names: wire.HeaderNames,
    report_reader: target_reports.TargetReportReader,
) -> context_lib.RelayContext:
    """Returns the shared state and services of a process."""
    bounds = settings.bounds
    rng = random.Random()
    metrics = relay_metrics.RelayMetrics()
    log = decision_log.DecisionLog(settings.name)
    targets = serving.TargetRegistry()
    availability = serving.TargetAvailability()
    announcements = target_announcements.TargetAnnouncements(
        availability, targets, names, log, metrics
    )
    loads = serving.LoadTable()

    def record_probe(
        entry: serving.TargetEntry, head: target_connection.ResponseHead
    ) -> None:
        announcements.record_head(entry, head)
        target_health.record_probed_load(loads, names, metrics, entry, head)

    gate = serving.VersionGate()
    fleet = serving.Fleet(settings.name)
    retry_budget = serving.PoolRetryBudget(
        bounds.retry_window_s, bounds.retry_ratio, bounds.retry_slack
    )
    retry_budget.set_host_count(fleet.hosts)
    availability.set_host_count(fleet.hosts)
    return context_lib.RelayContext(
        cached_config=serving.CachedConfig(
            bounds.key_removal_s, bounds.config_activation_s
        ),
        targets=targets,
        availability=availability,
        announcements=announcements,
        shared_targets=context_lib.SharedTargets(serving.ChangeLog()),
        loads=loads,
        placement=serving.Placement(
            targets, loads, settings.domain, rng, gate, availability
        ),
        admission_control=serving.AdmissionControl(rng),
        prefill_estimator=serving.PrefillEstimator(),
        retry_budget=retry_budget,
        trials=serving.TrialTable(
            gate, bounds.exposed_share, bounds.exposed_slack, rng
        ),
        silences=serving.TargetSilences(),
        suspects=suspects.SharedSuspects(uuid.uuid4().hex),
        part_suspects=suspects.PartSuspects(uuid.uuid4().hex),
        left_runs=suspects.LeftRuns(),
        watched_ids=set(),
        host_stop=context_lib.HostStop(),
        fleet=fleet,
        names=names,
        prober=target_prober.TargetProber(report_reader, metrics, record_probe),
        byte_budget=byte_budget.ByteBudget(
            settings.machine.memory_bytes, log, metrics
        ),
        log=log,
        metrics=metrics,
        rng=rng,
    )
