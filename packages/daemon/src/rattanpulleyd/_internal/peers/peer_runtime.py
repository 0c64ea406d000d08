"""Runtime of the peer protocol: streams, ticks and fact handlers."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any
import zlib

import gevent
import loguru

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulley_core import limits
from rattanpulley_core import peers
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulleyd._internal.peers import crash_report_codec
from rattanpulleyd._internal.peers import table_exchange
from rattanpulleyd._internal.peers import tcp_streams
from rattanpulleyd._internal.settings import model

TICK_INTERVAL_S = 0.25
# Time to write the last messages before the streams are closed.
LEAVE_LINGER_S = 0.1


class PeerRuntime:
    """Owns the peer protocol of one daemon.

    As in `Runtime`, event handling never yields, so events are not interleaved.
    """

    def __init__(
        self,
        *,
        settings: model.Settings,
        peer_settings: model.Peers,
        clock: interfaces.Clock,
        rng: random.Random,
        config: tables.ConfigState,
        suspect_table: suspects.SuspectTable,
        update_table: table_exchange.TableUpdate,
        account_limits: limits.AccountLimits,
    ) -> None:
        """Initializes the runtime; streams are accepted after `start`.

        Args:
            settings: Settings of the daemon.
            peer_settings: Peer section of the settings.
            clock: Source of time.
            rng: Source of randomness.
            config: The active tables.
            suspect_table: Receives the crash reports of other daemons.
            update_table: Called with each table that a peer sent.
            account_limits: Receives the number of live daemons.
        """
        self._clock = clock
        self._suspects = suspect_table
        self._limits = account_limits
        self.on_move_fact: Callable[[peers.Fact], None] | None = None
        self.on_members: Callable[[set[str]], None] | None = None
        self.on_live_count: Callable[[int], None] | None = None
        self._tables = table_exchange.TableExchange(
            clock=clock,
            config=config,
            update_table=update_table,
            feed=self.feed,
        )
        listen = peer_settings.listen
        self.streams = tcp_streams.TcpPeerStreams(
            listen.host, listen.port, self.feed
        )
        local_member = peers.Member(
            settings.name,
            settings.failure_domain,
            f"{listen.host}:{listen.port}",
            # Hosts have no persistent storage, so the incarnation is taken from
            # the wall clock, which increases across restarts.
            int(clock.wall_s() * 1000),
        )
        seeds = tuple(
            f"{address.host}:{address.port}"
            for address in peer_settings.addresses
        )
        core_settings = peers.PeerSettings(
            local_member, seeds, peer_settings.keys
        )
        self.core = peers.PeerCore(core_settings, rng)
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            peers.OpenStream: self.streams.open,
            peers.CloseStream: self.streams.close,
            peers.Send: self.streams.send,
            peers.FactLearned: self._on_fact,
            peers.TableReceived: self._on_table,
            peers.MemberChanged: self._on_member,
        }
        self._fact_handlers: dict[
            peers.FactKind, Callable[[peers.Fact], None]
        ] = {
            peers.FactKind.CRASH_REPORT: self._on_crash_report,
            peers.FactKind.CLEARANCE: self._on_clearance,
            peers.FactKind.TABLE: self._tables.on_version,
            peers.FactKind.EVIDENCE: self._on_move_fact,
            peers.FactKind.VERDICT: self._on_move_fact,
            peers.FactKind.MOVE_REPORT: self._on_move_fact,
        }

    def start(self) -> None:
        """Starts to accept streams."""
        self.streams.start()

    def stop(self) -> None:
        """Announces the departure to the peers and closes all streams."""
        self.feed(peers.Leaving())
        gevent.sleep(LEAVE_LINGER_S)
        self.streams.stop()

    def feed(self, event: peers.Event) -> None:
        """Handles one event and executes the resulting actions."""
        self._execute(self.core.handle(event, self._clock.monotonic_s()))

    def run_ticks(self) -> None:
        """Ticks until the greenlet is killed."""
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Runs one pass of the time-dependent work."""
        now_s = self._clock.monotonic_s()
        self._execute(self.core.tick(now_s))
        self._tables.request_missing(now_s)

    def announce_table(self, kind: tables.TableKind) -> None:
        """Announces the active table to the peers and serves it on request."""
        self._tables.announce(kind)

    def publish_crash_report(
        self, report: generations.PublishCrashReport
    ) -> None:
        """Reports to the peers that a request ran on a target that crashed."""
        now_s = self._clock.monotonic_s()
        self.feed(crash_report_codec.encode(report, now_s))

    def publish_clearance(self, fingerprint: str) -> None:
        """Reports to the peers that a suspected request causes no crashes."""
        version = int(self._clock.wall_s() * 1000)
        self.feed(
            peers.FactPublished(
                peers.FactKind.CLEARANCE,
                fingerprint,
                version,
                b"",
                suspects.REPORT_TTL_S,
            )
        )

    def report(self) -> dict[str, Any]:
        """Returns the state of the peers for the status endpoint."""
        state = self.core.state
        return {
            "incarnation": self.core.own.incarnation,
            "connected": sorted(state.stream_table.open_peer_names()),
            "members": {
                row.member.name: {
                    "failure_domain": row.member.failure_domain,
                    "state": row.member.state.name.lower(),
                }
                for row in state.peer_table
            },
            "facts": len(state.fact_table),
        }

    def counters_by_name(self) -> dict[str, int]:
        """Returns the counters since the start by name."""
        return {
            **dataclasses.asdict(self.core.state.counters),
            **dataclasses.asdict(self.streams.counters),
        }

    def _execute(self, actions: list[peers.Action]) -> None:
        for action in actions:
            self._action_handlers[type(action)](action)

    def _on_fact(self, action: peers.FactLearned) -> None:
        handler = self._fact_handlers.get(action.fact.kind)
        if handler is not None:
            handler(action.fact)

    def _on_crash_report(self, fact: peers.Fact) -> None:
        now_s = self._clock.monotonic_s()
        try:
            report = crash_report_codec.decode(fact)
        except crash_report_codec.MalformedCrashReportError:
            self.core.state.counters.malformed_facts += 1
            return
        expires_s = fact.expires_s
        ttl_s = suspects.REPORT_TTL_S
        if expires_s is not None:
            ttl_s = expires_s - now_s
        self._suspects.apply_remote(
            report.fingerprint,
            report.target,
            report.boot_id,
            now_s,
            ttl_s,
            report.run,
        )

    def _on_clearance(self, fact: peers.Fact) -> None:
        self._suspects.clear(fact.key)

    def _on_move_fact(self, fact: peers.Fact) -> None:
        if self.on_move_fact is None:
            return
        try:
            self.on_move_fact(fact)
        except (ValueError, zlib.error):
            self.core.state.counters.malformed_facts += 1

    def _on_table(self, action: peers.TableReceived) -> None:
        try:
            self._tables.on_table(action)
        except table_exchange.MalformedTableError:
            self.core.state.counters.malformed_tables += 1

    def _expected_daemons(self) -> set[str]:
        """Returns all daemons that did not leave, including dead ones."""
        return {
            row.member.name
            for row in self.core.state.peer_table
            if row.member.state is not peers.MemberState.LEFT
        }

    def _on_member(self, action: peers.MemberChanged) -> None:
        member = action.member
        if self.on_members is not None:
            self.on_members(self._expected_daemons())
        alive = self.core.state.peer_table.in_state(
            peers.MemberState.ALIVE, peers.MemberState.SUSPECT
        )
        self._limits.set_daemon_count(len(alive) + 1)
        if self.on_live_count is not None:
            self.on_live_count(len(alive) + 1)
        loguru.logger.info(
            "peer {} in {}: {} (incarnation {})",
            member.name,
            member.failure_domain,
            member.state.name.lower(),
            member.incarnation,
        )
