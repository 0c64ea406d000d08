"""Builds the components of the daemon and connects them."""

import random
from typing import Any

from rattanpulley_adapters import platform
from rattanpulley_core import generations
from rattanpulley_core import resume_token
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.api import app
from rattanpulleyd._internal.api import service_calls
from rattanpulleyd._internal.config import host_poll
from rattanpulleyd._internal.config import table_watch
from rattanpulleyd._internal.engine import http_engine
from rattanpulleyd._internal.loads import load_poll
from rattanpulleyd._internal.moves import move_runtime
from rattanpulleyd._internal.moves import verdict_store
from rattanpulleyd._internal.peers import peer_runtime
from rattanpulleyd._internal.runtime import background_jobs
from rattanpulleyd._internal.runtime import claim_retention
from rattanpulleyd._internal.runtime import clock as clock_lib
from rattanpulleyd._internal.runtime import counter_export
from rattanpulleyd._internal.runtime import runtime as runtime_lib
from rattanpulleyd._internal.services import http_service
from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.sockets import fair_socket
from rattanpulleyd._internal.telemetry import counters

_Choice = model.TargetChoice


class Components:
    """The components of one daemon; none is started.

    Attributes:
        counts: Counters of the daemon.
        runtime: Runtime of the generation core.
        peer_runtime: Runtime of the peer protocol, or None without peers.
        caller_api: HTTP API for the callers.
    """

    def __init__(self, settings: model.Settings) -> None:
        """Builds the components.

        Args:
            settings: Settings of the daemon.
        """
        self._rng = random.Random()
        self._settings = settings
        self.counts = counters.Counters(settings.statsd)
        self._clock = clock_lib.SystemClock()
        self._store = platform.HttpObjectStore(
            settings.platform.url, fair_socket.FairConnectionPool
        )
        signer = resume_token.Signer(settings.resume_keys)
        self._suspect_table = suspects.SuspectTable()
        self._target_table = targets.TargetTable(settings.failure_domain)
        self._least_outstanding_chooser = targets.LeastOutstandingChooser(
            self._target_table, self._rng
        )
        self._engine = http_engine.HttpEngineApi(self.counts)
        self.runtime = self._build_runtime(signer)
        self._table_watch = table_watch.TableWatch(
            self._store,
            self.runtime.config,
            self._clock,
            self.counts,
            self._rng,
            self._apply_table,
        )
        self._claim_retention = claim_retention.ClaimRetention(
            self._store, self._clock, self.counts, self._rng
        )
        self._verdict_store = verdict_store.VerdictStore(self._store, self._rng)
        self._move_runtime = self._build_moves()
        self.peer_runtime = self._build_peers()
        self.caller_api = app.CallerApi(
            settings,
            self.runtime,
            signer,
            self._build_services(),
            self._component_reports,
        )

    def background_jobs(self) -> list[background_jobs.Job]:
        """Returns the jobs to run while the daemon runs."""
        jobs = [
            self._table_watch.run,
            self._build_host_poll().run,
            self.runtime.run_ticks,
            self._move_runtime.run_ticks,
            self._verdict_store.run,
            self._claim_retention.run,
            self._build_counter_export().run,
        ]
        if self._settings.target_choice is _Choice.EXPECTED_COST:
            jobs.append(self._build_load_poll().run)
        if self.peer_runtime is not None:
            jobs.append(self.peer_runtime.run_ticks)
        return jobs

    def _build_runtime(
        self, signer: resume_token.Signer
    ) -> runtime_lib.Runtime:
        """Builds the runtime with its core components."""
        core = generations.GenerationCore(
            target_table=self._target_table,
            chooser=self._engine_chooser(),
            signer=signer,
            suspect_table=self._suspect_table,
            rng=self._rng,
        )
        return runtime_lib.Runtime(
            clock=self._clock,
            core=core,
            target_table=self._target_table,
            config=tables.ConfigState(),
            engine=self._engine,
            counts=self.counts,
        )

    def _engine_chooser(self) -> targets.TargetChooser:
        """Returns the engine chooser selected in the settings."""
        if self._settings.target_choice is _Choice.LEAST_OUTSTANDING:
            return self._least_outstanding_chooser
        return targets.ExpectedCostChooser(self._target_table, self._rng)

    def _build_host_poll(self) -> host_poll.HostPoll:
        """Builds the poll of the platform's host list."""
        return host_poll.HostPoll(
            platform.HttpHostList(
                self._settings.platform.url, fair_socket.FairConnectionPool
            ),
            self.counts,
            self.runtime.apply_hosts,
            self._rng,
        )

    def _build_load_poll(self) -> load_poll.LoadPoll:
        """Builds the poll of engine load reports."""
        return load_poll.LoadPoll(
            self._engine,
            self._target_table,
            self._clock,
            self.counts,
            self._rng,
        )

    def _build_counter_export(self) -> counter_export.CounterExport:
        """Builds the export of the gauges and counters."""
        return counter_export.CounterExport(
            runtime=self.runtime,
            peer_runtime=self.peer_runtime,
            clock=self._clock,
            counts=self.counts,
        )

    def _build_services(self) -> service_calls.ServiceCalls:
        """Builds the handler of calls to plain services.

        It uses the least-outstanding chooser, because services report no load
        and cache no prefixes, and because their calls must not adapt the
        limits of the expected-cost chooser.
        """
        return service_calls.ServiceCalls(
            name=self._settings.name,
            runtime=self.runtime,
            service=http_service.HttpServiceApi(),
            store=self._store,
            chooser=self._least_outstanding_chooser,
            retention=self._claim_retention,
        )

    def _build_moves(self) -> move_runtime.MoveRuntime:
        """Builds the runtime of version moves."""
        component = move_runtime.MoveRuntime(
            daemon=self._settings.name,
            clock=self._clock,
            config=self.runtime.config,
            target_table=self._target_table,
            store=self._verdict_store,
        )
        self.runtime.health = component
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
            config=self.runtime.config,
            suspect_table=self._suspect_table,
            update_table=self._table_watch.update,
            account_limits=self.runtime.limits,
        )
        self.runtime.on_crash_report = component.publish_crash_report
        self.runtime.on_clearance = component.publish_clearance
        component.on_move_fact = self._move_runtime.receive_fact
        component.on_members = self._move_runtime.set_daemons
        component.on_live_count = self._claim_retention.set_daemon_count
        self._move_runtime.publish = component.feed
        return component

    def _component_reports(self) -> dict[str, Any]:
        """Returns the status of version moves and peers."""
        report: dict[str, Any] = {"moves": self._move_runtime.report()}
        if self.peer_runtime is not None:
            report["peers"] = self.peer_runtime.report()
        return report

    def _apply_table(self, kind: tables.TableKind) -> None:
        """Activates an accepted table and announces it to the peers."""
        self.runtime.apply_table(kind)
        self._move_runtime.apply_tables()
        if self.peer_runtime is not None:
            self.peer_runtime.announce_table(kind)
