"""Runs the peer part: streams, ticks, and what its facts mean to the daemon."""

from collections.abc import Callable
import dataclasses
import hashlib
import json
import random
from typing import Any
import zlib

import gevent
import loguru

from rattanpulley_core import interfaces
from rattanpulley_core import limits
from rattanpulley_core import peers
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulleyd._internal.peers import tcp_streams
from rattanpulleyd._internal.settings import model

TICK_S = 0.25
# Time for the own watch of the object API to bring a table that peers have.
STORE_GRACE_S = 1.0
SOURCE = "peer"
# A table is at most as large as a value of the object API.
MAX_TABLE_BYTES = 1_048_576
CRASH_REPORT_TTL_S = 3600.0
# Time for the last messages to be written before the streams are closed.
LEAVE_LINGER_S = 0.1

TableOffer = Callable[[tables.TableKind, int, Any, str], None]


class PeerRuntime:
    """Owns the peer part of one daemon.

    As in `Runtime`, no method waits, so events are never interleaved.
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
        offer_table: TableOffer,
        account_limits: limits.AccountLimits,
    ) -> None:
        """Prepares the part and listens; `start` accepts streams.

        Args:
            settings: Settings of the daemon.
            peer_settings: Their part on peers.
            clock: Source of time.
            rng: Source of randomness.
            config: The tables in force.
            suspect_table: Takes the crash reports of other daemons.
            offer_table: Offers a table that a peer sent.
            account_limits: Takes the number of daemons alive.
        """
        self._clock = clock
        self._config = config
        self._suspects = suspect_table
        self._offer_table = offer_table
        self._limits = account_limits
        self.on_move_fact: Callable[[peers.Fact], None] | None = None
        self.on_members: Callable[[set[str]], None] | None = None
        self.on_live_count: Callable[[int], None] | None = None
        self._wanted_since_s: dict[tables.TableKind, float] = {}
        listen = peer_settings.listen
        self.streams = tcp_streams.TcpPeerStreams(
            listen.host, listen.port, self.feed
        )
        own = peers.Member(
            settings.name,
            settings.failure_domain,
            f"{listen.host}:{listen.port}",
            # Hosts keep nothing, so the wall clock orders the restarts.
            int(clock.wall_s() * 1000),
        )
        seeds = tuple(
            f"{address.host}:{address.port}"
            for address in peer_settings.addresses
        )
        core_settings = peers.PeerSettings(own, seeds, peer_settings.keys)
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
            peers.FactKind.TABLE: self._on_table_version,
            peers.FactKind.EVIDENCE: self._on_move,
            peers.FactKind.VERDICT: self._on_move,
            peers.FactKind.MOVE_REPORT: self._on_move,
        }

    def start(self) -> None:
        """Accepts streams from now on."""
        self.streams.start()

    def stop(self) -> None:
        """Tells the peers and closes all streams."""
        self.feed(peers.Leaving())
        gevent.sleep(LEAVE_LINGER_S)
        self.streams.stop()

    def feed(self, event: peers.Event) -> None:
        """Handles one event."""
        self._carry_out(self.core.handle(event, self._clock.monotonic_s()))

    def run_ticks(self) -> None:
        """Ticks until the greenlet is killed."""
        while True:
            gevent.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Runs the time-dependent work once."""
        now_s = self._clock.monotonic_s()
        self._carry_out(self.core.tick(now_s))
        self._ask_for_tables(now_s)

    def announce_table(self, kind: tables.TableKind) -> None:
        """Tells the peers which table is in force here, and serves it."""
        in_force = self._config.active_table(kind)
        if in_force is None:
            return
        self._wanted_since_s.pop(kind, None)
        text = in_force.text.encode()
        version = in_force.version
        content = zlib.compress(text)
        digest = hashlib.blake2b(text, digest_size=16).digest()
        self.feed(peers.TableAvailable(kind.value, version, content))
        self.feed(
            peers.FactPublished(
                peers.FactKind.TABLE, kind.value, version, digest, None
            )
        )

    def publish_crash_report(
        self, fingerprint: str, target: str, boot_id: str
    ) -> None:
        """Tells the peers that a request was running on a crashed target."""
        value = json.dumps([fingerprint, target, boot_id]).encode()
        key = hashlib.blake2b(value, digest_size=16).hexdigest()
        self.feed(
            peers.FactPublished(
                peers.FactKind.CRASH_REPORT, key, 1, value, CRASH_REPORT_TTL_S
            )
        )

    def publish_clearance(self, fingerprint: str) -> None:
        """Tells the peers that a reported request crashes no targets."""
        version = int(self._clock.wall_s() * 1000)
        self.feed(
            peers.FactPublished(
                peers.FactKind.CLEARANCE,
                fingerprint,
                version,
                b"",
                CRASH_REPORT_TTL_S,
            )
        )

    def report(self) -> dict[str, Any]:
        """Returns the state of the peer part for operators."""
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
        """Returns the counts of the part since the start."""
        return {
            **dataclasses.asdict(self.core.state.counters),
            **dataclasses.asdict(self.streams.counters),
        }

    def _carry_out(self, actions: list[peers.Action]) -> None:
        for action in actions:
            self._action_handlers[type(action)](action)

    def _on_fact(self, action: peers.FactLearned) -> None:
        handler = self._fact_handlers.get(action.fact.kind)
        if handler is not None:
            handler(action.fact)

    def _on_crash_report(self, fact: peers.Fact) -> None:
        now_s = self._clock.monotonic_s()
        try:
            fingerprint, target, boot_id = json.loads(fact.value)
        except ValueError:
            self.core.state.counters.malformed_facts += 1
            return
        expires_s = fact.expires_s
        ttl_s = CRASH_REPORT_TTL_S if expires_s is None else expires_s - now_s
        self._suspects.apply_remote(fingerprint, target, boot_id, now_s, ttl_s)

    def _on_clearance(self, fact: peers.Fact) -> None:
        self._suspects.clear(fact.key)

    def _on_move(self, fact: peers.Fact) -> None:
        if self.on_move_fact is None:
            return
        try:
            self.on_move_fact(fact)
        except (ValueError, zlib.error):
            self.core.state.counters.malformed_facts += 1

    def _on_table_version(self, fact: peers.Fact) -> None:
        kind = _KINDS_BY_NAME.get(fact.key)
        if kind is not None and fact.version > self._config.version(kind):
            now_s = self._clock.monotonic_s()
            self._wanted_since_s.setdefault(kind, now_s)

    def _ask_for_tables(self, now_s: float) -> None:
        """Asks peers for tables that the own watch did not bring in time."""
        for kind, since_s in list(self._wanted_since_s.items()):
            if now_s - since_s < STORE_GRACE_S:
                continue
            self._wanted_since_s[kind] = now_s
            version = self._config.version(kind)
            self.feed(peers.TableWanted(kind.value, version))

    def _on_table(self, action: peers.TableReceived) -> None:
        kind = _KINDS_BY_NAME.get(action.table)
        if kind is None:
            return
        try:
            value = json.loads(_decompress(action.content))
        except (ValueError, zlib.error):
            self.core.state.counters.malformed_tables += 1
            return
        self._offer_table(kind, action.version, value, SOURCE)

    def _expected_daemons(self) -> set[str]:
        """Returns the daemons that have not left, silent and dead ones too."""
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


def _decompress(content: bytes) -> bytes:
    """Returns the text of a table.

    Raises:
        ValueError: The text is larger than a table may be.
    """
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(content, MAX_TABLE_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError("the table is too large")
    return text


_KINDS_BY_NAME = {kind.value: kind for kind in tables.TableKind}
