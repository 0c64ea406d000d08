"""The peer part: membership, failure detection and the spread of facts.

It takes events and the time, and returns actions. Its state is `PeerState`, of
which it is the only owner.
"""

from collections.abc import Callable
import random

from rattanpulley_core._internal.peers import connections
from rattanpulley_core._internal.peers import dissemination
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import state as peer_state
from rattanpulley_core._internal.peers import streams
from rattanpulley_core._internal.peers import table_exchange

# A gap between ticks above this limit means that this process was paused; the
# silence of its peers then proves nothing.
PAUSE_LIMIT_S = 1.0

Actions = peer_state.Actions


class PeerCore:
    """Membership and facts of one daemon."""

    def __init__(
        self, settings: connections.PeerSettings, rng: random.Random
    ) -> None:
        self._last_tick_s: float | None = None
        self.state = peer_state.PeerState(settings.own, rng)
        spread = dissemination.Dissemination(self.state)
        links = connections.Connections(settings, self.state, spread)
        tables = table_exchange.TableExchange(self.state.stream_table, rng)
        self._connections = links
        self._systems: tuple[Callable[[float], Actions], ...] = (
            links.detect_silence,
            spread.end_suspicions,
            spread.expire_facts,
            links.send_heartbeats,
            links.connect,
            links.rejoin,
            links.close_surplus,
            spread.reconcile,
        )
        self._event_handlers: dict[type, Callable[..., Actions]] = {
            messages.StreamOpened: links.on_stream_opened,
            messages.StreamClosed: links.on_stream_closed,
            messages.ConnectFailed: links.on_connect_failed,
            messages.MessageReceived: self._on_message,
            messages.FactPublished: spread.on_fact_published,
            messages.Leaving: spread.on_leaving,
            messages.TableAvailable: tables.on_held,
            messages.TableWanted: tables.on_wanted,
        }
        open_state = streams.StreamState.OPEN
        self._message_handlers: dict[
            tuple[streams.StreamState, type], Callable[..., Actions]
        ] = {
            (streams.StreamState.GREETED, messages.Hello): links.on_hello,
            (streams.StreamState.PROVING, messages.Welcome): links.on_welcome,
            (open_state, messages.Heartbeat): spread.on_heartbeat,
            (open_state, messages.Facts): spread.on_facts,
            (open_state, messages.FactsRequest): spread.on_facts_request,
            (open_state, messages.TableRequest): tables.on_request,
            (open_state, messages.TableContent): tables.on_content,
        }

    @property
    def own(self) -> members.Member:
        """Returns this daemon with its current incarnation."""
        return self.state.own

    def handle(self, event: messages.Event, now_s: float) -> Actions:
        """Takes one event and returns the actions to carry out."""
        return self._event_handlers[type(event)](event, now_s)

    def tick(self, now_s: float) -> Actions:
        """Runs the work that depends on time."""
        last_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_s is not None and now_s - last_s > PAUSE_LIMIT_S:
            self._connections.restart_silence_timers(now_s)
        actions: Actions = []
        for system in self._systems:
            actions += system(now_s)
        return actions

    def _on_message(
        self, event: messages.MessageReceived, now_s: float
    ) -> Actions:
        row = self.state.stream_table.rows_by_id.get(event.stream_id)
        if row is None:
            return []
        handler = self._message_handlers.get((row.state, type(event.message)))
        if handler is None:
            self.state.counters.unexpected_messages += 1
            return self._connections.refuse(row, now_s)
        row.heard_s = now_s
        return handler(row, event.message, now_s)
