"""Builds, runs and stops the components of the daemon."""

from collections.abc import Callable
import gc
import random
import resource
import signal
from typing import Any

import gevent
import gevent.event
import loguru

from rattanpulley_adapters import platform
from rattanpulley_core import generations
from rattanpulley_core import resume_token
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd import exceptions
from rattanpulleyd._internal.api import admission
from rattanpulleyd._internal.api import app
from rattanpulleyd._internal.api import service_calls
from rattanpulleyd._internal.config import host_poll
from rattanpulleyd._internal.config import table_watch
from rattanpulleyd._internal.engine import http_engine
from rattanpulleyd._internal.loads import load_poll
from rattanpulleyd._internal.moves import move_runtime
from rattanpulleyd._internal.moves import verdict_store
from rattanpulleyd._internal.peers import peer_runtime
from rattanpulleyd._internal.runtime import claim_retention
from rattanpulleyd._internal.runtime import clock as clock_lib
from rattanpulleyd._internal.runtime import http_server
from rattanpulleyd._internal.runtime import runtime as runtime_lib
from rattanpulleyd._internal.services import http_service
from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.telemetry import counters
from rattanpulleyd._internal.telemetry import logs

FLUSH_INTERVAL_S = 1.0
DRAIN_POLL_S = 0.05
# Requests that are in transit when the listening socket closes still receive
# an error response during this time.
REFUSAL_LINGER_S = 0.25
JOB_RESTART_DELAY_S = 1.0
# Events and actions are freed by reference counting, so frequent passes of the
# garbage collector would find nothing to free.
GC_THRESHOLDS = (20_000, 20, 20)
# File descriptors for everything except the connections of requests.
RESERVED_FILE_DESCRIPTORS = 200
GENERATION_COUNTER_PREFIX = "generation"
PEER_COUNTER_PREFIX = "peers"

_Counter = counters.Counter
_Choice = model.TargetChoice


class Daemon:
    """Owns all components of one daemon."""

    def __init__(self, settings: model.Settings) -> None:
        """Builds the components without starting them.

        Args:
            settings: Settings of the daemon.

        Raises:
            exceptions.SettingsError: The listening address is not available.
        """
        self._rng = random.Random()
        self._settings = settings
        self._counts = counters.Counters(settings.statsd)
        self._clock = clock_lib.SystemClock()
        self._store = platform.HttpObjectStore(settings.platform.url)
        self._stopping = gevent.event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        signer = resume_token.Signer(settings.resume_keys)
        target_table = targets.TargetTable(settings.failure_domain)
        self._suspect_table = suspects.SuspectTable()
        self._target_table = target_table
        self._least_outstanding_chooser = targets.LeastOutstandingChooser(
            target_table, self._rng
        )
        self._engine = http_engine.HttpEngineApi(self._counts)
        self._runtime = self._build_runtime(signer, target_table)
        self._table_watch = table_watch.TableWatch(
            self._store,
            self._runtime.config,
            self._clock,
            self._counts,
            self._rng,
            self._apply_table,
        )
        self._claim_retention = claim_retention.ClaimRetention(
            self._store, self._clock, self._counts, self._rng
        )
        self._verdict_store = verdict_store.VerdictStore(self._store, self._rng)
        self._move_runtime = self._build_moves(target_table)
        self._peer_runtime = self._build_peers()
        api = app.CallerApi(
            settings,
            self._runtime,
            signer,
            self._build_services(),
            self._component_reports,
        )
        try:
            self._server = http_server.HttpServer(settings.listen, api.app)
        except OSError as error:
            raise exceptions.SettingsError(
                "$.listen", f"cannot listen: {error}", "use a free address"
            ) from error

    def _build_runtime(
        self, signer: resume_token.Signer, target_table: targets.TargetTable
    ) -> runtime_lib.Runtime:
        """Builds the runtime with its core components."""
        core = generations.GenerationCore(
            target_table=target_table,
            chooser=self._engine_chooser(),
            signer=signer,
            suspect_table=self._suspect_table,
            rng=self._rng,
        )
        return runtime_lib.Runtime(
            clock=self._clock,
            core=core,
            target_table=target_table,
            config=tables.ConfigState(),
            engine=self._engine,
            counts=self._counts,
        )

    def _engine_chooser(self) -> targets.TargetChooser:
        """Returns the engine chooser selected in the settings."""
        if self._settings.target_choice is _Choice.LEAST_OUTSTANDING:
            return self._least_outstanding_chooser
        return targets.ExpectedCostChooser(self._target_table, self._rng)

    def _build_load_poll(self) -> load_poll.LoadPoll:
        """Builds the poll of engine load reports."""
        return load_poll.LoadPoll(
            self._engine,
            self._target_table,
            self._clock,
            self._counts,
            self._rng,
        )

    def _build_services(self) -> service_calls.ServiceCalls:
        """Builds the handler of calls to plain services.

        It uses the least-outstanding chooser, because services report no load
        and cache no prefixes, and because their calls must not adapt the
        limits of the expected-cost chooser.
        """
        return service_calls.ServiceCalls(
            name=self._settings.name,
            runtime=self._runtime,
            service=http_service.HttpServiceApi(),
            store=self._store,
            chooser=self._least_outstanding_chooser,
            retention=self._claim_retention,
        )

    def _build_moves(
        self, target_table: targets.TargetTable
    ) -> move_runtime.MoveRuntime:
        """Builds the runtime of version moves."""
        component = move_runtime.MoveRuntime(
            daemon=self._settings.name,
            clock=self._clock,
            config=self._runtime.config,
            target_table=target_table,
            store=self._verdict_store,
        )
        self._runtime.health = component
        return component

    def _build_peers(self) -> peer_runtime.PeerRuntime | None:
        """Builds the peer runtime, or returns None without peer settings."""
        if self._settings.peers is None:
            return None
        component = peer_runtime.PeerRuntime(
            settings=self._settings,
            peer_settings=self._settings.peers,
            clock=self._clock,
            rng=self._rng,
            config=self._runtime.config,
            suspect_table=self._suspect_table,
            update_table=self._table_watch.update,
            account_limits=self._runtime.limits,
        )
        self._runtime.on_crash_report = component.publish_crash_report
        self._runtime.on_clearance = component.publish_clearance
        component.on_move_fact = self._move_runtime.receive_fact
        component.on_members = self._move_runtime.set_daemons
        component.on_live_count = self._claim_retention.set_daemon_count
        self._move_runtime.publish = component.feed
        return component

    def _component_reports(self) -> dict[str, Any]:
        """Returns the status of version moves and peers."""
        report: dict[str, Any] = {"moves": self._move_runtime.report()}
        if self._peer_runtime is not None:
            report["peers"] = self._peer_runtime.report()
        return report

    def _apply_table(self, kind: tables.TableKind) -> None:
        """Activates an accepted table and announces it to the peers."""
        self._runtime.apply_table(kind)
        self._move_runtime.apply_tables()
        if self._peer_runtime is not None:
            self._peer_runtime.announce_table(kind)

    def start(self) -> None:
        """Starts the background jobs and accepts connections."""
        runtime = self._runtime
        poll = host_poll.HostPoll(
            platform.HttpHostList(self._settings.platform.url),
            self._counts,
            runtime.apply_hosts,
            self._rng,
        )
        jobs = [
            self._table_watch.run,
            poll.run,
            runtime.run_ticks,
            self._move_runtime.run_ticks,
            self._verdict_store.run,
            self._claim_retention.run,
            self._flush_counters,
        ]
        if self._settings.target_choice is _Choice.EXPECTED_COST:
            jobs.append(self._build_load_poll().run)
        if self._peer_runtime is not None:
            self._peer_runtime.start()
            jobs.append(self._peer_runtime.run_ticks)
        self._greenlets = [gevent.spawn(self._keep_running, j) for j in jobs]
        self._server.start()
        loguru.logger.info(
            "{}: listening on {}:{}",
            self._settings.name,
            self._settings.listen.host,
            self._settings.listen.port,
        )

    def _keep_running(self, job: Callable[[], None]) -> None:
        """Runs a job and restarts it whenever it fails or returns.

        Otherwise a daemon whose watch or tick loop failed would appear healthy
        and serve outdated tables.
        """
        while True:
            greenlet = gevent.spawn(job)
            try:
                greenlet.join()
            finally:
                greenlet.kill(block=False)
            self._counts.count(_Counter.JOBS_FAILED)
            loguru.logger.error(
                "{}: a background job failed: {!r}",
                self._settings.name,
                greenlet.exception,
            )
            gevent.sleep(JOB_RESTART_DELAY_S)

    def stop_gracefully(self) -> None:
        """Rejects new requests and lets `wait` return after those in flight."""
        self._runtime.set_draining()
        self._stopping.set()

    def wait(self) -> None:
        """Waits for the stop signal, drains requests and stops the server."""
        self._stopping.wait()
        loguru.logger.info("{}: draining", self._settings.name)
        self._wait_for_responses()
        self._server.stop_accepting()
        gevent.sleep(REFUSAL_LINGER_S)
        self._wait_for_responses()
        self._server.stop()
        gevent.killall(self._greenlets)
        if self._peer_runtime is not None:
            self._peer_runtime.stop()
        self._counts.flush()
        loguru.logger.info("{}: stopped", self._settings.name)

    def _wait_for_responses(self) -> None:
        while self._server.in_flight:
            gevent.sleep(DRAIN_POLL_S)

    def _flush_counters(self) -> None:
        """Updates the gauges and sends the counters every second."""
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            gap_ms = round(self._runtime.pop_longest_gap_s() * 1000)
            self._counts.gauge(_Counter.LOOP_LONGEST_GAP_MS, gap_ms)
            status = self._runtime.core.status(self._clock.monotonic_s())
            self._counts.gauge(_Counter.GENERATIONS_ACTIVE, status.active_count)
            self._counts.gauge(_Counter.JOURNAL_BYTES, status.journal_bytes)
            self._counts.add_component_totals(
                GENERATION_COUNTER_PREFIX, status.counters_by_name
            )
            if self._peer_runtime is not None:
                counters_by_name = self._peer_runtime.counters_by_name()
                self._counts.add_component_totals(
                    PEER_COUNTER_PREFIX, counters_by_name
                )
            self._counts.flush()
            self._runtime.log_target_states()


def _raise_file_limit() -> None:
    """Raises the soft limit of open files as far as the hard limit allows.

    Each request in flight needs two connections.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    file_limit = 2 * admission.MAX_IN_FLIGHT + RESERVED_FILE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY:
        file_limit = min(file_limit, hard)
    if soft != resource.RLIM_INFINITY and soft < file_limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (file_limit, hard))


def _configure_garbage_collector() -> None:
    """Excludes the objects created at startup from garbage collection.

    A full collection over all modules would pause every stream.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def serve(settings: model.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then drains its requests.

    Args:
        settings: Settings of the daemon.

    Raises:
        exceptions.SettingsError: The listening address is not available.
    """
    logs.configure(settings.log_level)
    _raise_file_limit()
    daemon = Daemon(settings)
    gevent.signal_handler(signal.SIGTERM, daemon.stop_gracefully)
    gevent.signal_handler(signal.SIGINT, daemon.stop_gracefully)
    _configure_garbage_collector()
    daemon.start()
    daemon.wait()
