"""Builds the daemon's parts, runs them and stops them."""

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

FLUSH_S = 1.0
DRAIN_CHECK_S = 0.05
# Requests that were on their way when the listening socket closed are still
# refused with an answer.
LINGER_S = 0.25
JOB_RESTART_S = 1.0
# Events and actions are freed by their reference counts, so that frequent
# passes of the collector find nothing.
COLLECTOR_THRESHOLDS = (20_000, 20, 20)
# Files besides the connections of answers.
SPARE_FILES = 200
CORE_PREFIX = "generation"
PEERS_PREFIX = "peers"

_Counter = counters.Counter
_Choice = model.TargetChoice


class Daemon:
    """All parts of one daemon."""

    def __init__(self, settings: model.Settings) -> None:
        """Builds the parts; nothing is started.

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
        self._least = targets.LeastOutstandingChooser(target_table, self._rng)
        self._engine = http_engine.HttpEngineApi(self._counts)
        self._runtime = self._build_runtime(signer, target_table)
        self._watch = table_watch.TableWatch(
            self._store,
            self._runtime.config,
            self._clock,
            self._counts,
            self._rng,
            self._apply_table,
        )
        self._retention = claim_retention.ClaimRetention(
            self._store, self._clock, self._counts, self._rng
        )
        self._verdicts = verdict_store.VerdictStore(self._store, self._rng)
        self._moves = self._build_moves(target_table)
        self._peers = self._build_peers()
        api = app.CallerApi(
            settings,
            self._runtime,
            signer,
            self._build_services(),
            self._report_parts,
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
        """Builds the core parts and the engine client."""
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
        """Returns the chooser of engines that the settings name."""
        if self._settings.target_choice is _Choice.LEAST_OUTSTANDING:
            return self._least
        return targets.ExpectedCostChooser(self._target_table, self._rng)

    def _build_load_poll(self) -> load_poll.LoadPoll:
        """Builds the poll of the engines' load."""
        return load_poll.LoadPoll(
            self._engine,
            self._target_table,
            self._clock,
            self._counts,
            self._rng,
        )

    def _build_services(self) -> service_calls.ServiceCalls:
        """Builds the calls to plain services.

        Services report no load and cache no prefixes, and their calls do not
        adapt the limits of the expected cost.
        """
        return service_calls.ServiceCalls(
            name=self._settings.name,
            runtime=self._runtime,
            service=http_service.HttpServiceApi(),
            store=self._store,
            chooser=self._least,
            retention=self._retention,
        )

    def _build_moves(
        self, target_table: targets.TargetTable
    ) -> move_runtime.MoveRuntime:
        """Builds the moves part."""
        part = move_runtime.MoveRuntime(
            daemon=self._settings.name,
            clock=self._clock,
            config=self._runtime.config,
            target_table=target_table,
            store=self._verdicts,
        )
        self._runtime.health = part
        return part

    def _build_peers(self) -> peer_runtime.PeerRuntime | None:
        """Builds the peer part, if the settings have one."""
        if self._settings.peers is None:
            return None
        part = peer_runtime.PeerRuntime(
            settings=self._settings,
            peer_settings=self._settings.peers,
            clock=self._clock,
            rng=self._rng,
            config=self._runtime.config,
            suspect_table=self._suspect_table,
            offer_table=self._watch.offer,
            account_limits=self._runtime.limits,
        )
        self._runtime.on_crash_report = part.publish_crash_report
        self._runtime.on_clearance = part.publish_clearance
        part.on_move_fact = self._moves.learn_fact
        part.on_members = self._moves.set_daemons
        part.on_live_count = self._retention.set_daemon_count
        self._moves.publish = part.feed
        return part

    def _report_parts(self) -> dict[str, Any]:
        """Returns the state of the parts beside the runtime."""
        report: dict[str, Any] = {"moves": self._moves.report()}
        if self._peers is not None:
            report["peers"] = self._peers.report()
        return report

    def _apply_table(self, kind: tables.TableKind) -> None:
        """Brings an accepted table into force and tells the peers."""
        self._runtime.apply_table(kind)
        self._moves.apply_tables()
        if self._peers is not None:
            self._peers.announce_table(kind)

    def start(self) -> None:
        """Starts the background work and accepts connections."""
        runtime = self._runtime
        poll = host_poll.HostPoll(
            platform.HttpHostList(self._settings.platform.url),
            self._counts,
            runtime.apply_hosts,
            self._rng,
        )
        jobs = [
            self._watch.run,
            poll.run,
            runtime.run_ticks,
            self._moves.run_ticks,
            self._verdicts.run,
            self._retention.run,
            self._flush,
        ]
        if self._settings.target_choice is _Choice.EXPECTED_COST:
            jobs.append(self._build_load_poll().run)
        if self._peers is not None:
            self._peers.start()
            jobs.append(self._peers.run_ticks)
        self._greenlets = [gevent.spawn(self._keep_running, j) for j in jobs]
        self._server.start()
        loguru.logger.info(
            "{}: listening on {}:{}",
            self._settings.name,
            self._settings.listen.host,
            self._settings.listen.port,
        )

    def _keep_running(self, job: Callable[[], None]) -> None:
        """Starts a job again when it fails.

        A daemon whose watch or tick ended would look healthy and serve with
        old tables.
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
            gevent.sleep(JOB_RESTART_S)

    def stop_gracefully(self) -> None:
        """Refuses new requests; `wait` returns when the others are done."""
        self._runtime.set_draining()
        self._stopping.set()

    def wait(self) -> None:
        """Waits for a stop and then for the answers in flight."""
        self._stopping.wait()
        loguru.logger.info("{}: draining", self._settings.name)
        self._wait_for_answers()
        self._server.stop_accepting()
        gevent.sleep(LINGER_S)
        self._wait_for_answers()
        self._server.stop()
        gevent.killall(self._greenlets)
        if self._peers is not None:
            self._peers.stop()
        self._counts.flush()
        loguru.logger.info("{}: stopped", self._settings.name)

    def _wait_for_answers(self) -> None:
        while self._server.in_flight:
            gevent.sleep(DRAIN_CHECK_S)

    def _flush(self) -> None:
        """Sends the counters each second."""
        while True:
            gevent.sleep(FLUSH_S)
            gap_ms = round(self._runtime.take_longest_gap_s() * 1000)
            self._counts.gauge(_Counter.LOOP_LONGEST_GAP_MS, gap_ms)
            status = self._runtime.core.status(self._clock.monotonic_s())
            self._counts.gauge(_Counter.GENERATIONS_ACTIVE, status.active_count)
            self._counts.gauge(_Counter.JOURNAL_BYTES, status.journal_bytes)
            self._counts.absorb(CORE_PREFIX, status.counters_by_name)
            if self._peers is not None:
                counters_by_name = self._peers.counters_by_name()
                self._counts.absorb(PEERS_PREFIX, counters_by_name)
            self._counts.flush()
            self._runtime.log_target_states()


def _raise_file_limit() -> None:
    """Allows two connections for each answer in flight, where possible."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 2 * admission.MAX_IN_FLIGHT + SPARE_FILES
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def _tune_collector() -> None:
    """Keeps the objects of the start out of the garbage collector's passes.

    A full pass over all modules stops every stream for its duration.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def serve(settings: model.Settings) -> None:
    """Runs a daemon until SIGTERM and the end of its answers in flight.

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
    _tune_collector()
    daemon.start()
    daemon.wait()
