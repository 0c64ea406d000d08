"""Peer protocol: membership, failure detection and fact dissemination.

The protocol does no I/O: it receives events and the current time, and returns
actions for the caller to perform. `PeerCore` is the only owner of its
`PeerState`.
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

# A longer gap between two ticks means that this process was paused. Silence of
# the peers during the pause is then no evidence that they failed.
PAUSE_THRESHOLD_S = 1.0

Actions = peer_state.Actions


class PeerCore:
    """Peer protocol of one daemon.

    Attributes:
        state: Members, facts and streams of the daemon.
    """

    def __init__(
        self, settings: connections.PeerSettings, rng: random.Random
    ) -> None:
        self._last_tick_s: float | None = None
        self.state = peer_state.PeerState(settings.own, rng)
        disseminator = dissemination.Disseminator(self.state)
        connection_manager = connections.ConnectionManager(
            settings, self.state, disseminator
        )
        tables = table_exchange.TableExchange(self.state.stream_table, rng)
        self._connection_manager = connection_manager
        self._periodic_tasks: tuple[Callable[[float], Actions], ...] = (
            connection_manager.close_silent_streams,
            disseminator.expire_suspicions,
            disseminator.expire_facts,
            connection_manager.send_heartbeats,
            connection_manager.connect_to_neighbours,
            connection_manager.rejoin,
            connection_manager.close_surplus_streams,
            disseminator.reconcile,
        )
        self._event_handlers: dict[type, Callable[..., Actions]] = {
            messages.StreamOpened: connection_manager.on_stream_opened,
            messages.StreamClosed: connection_manager.on_stream_closed,
            messages.ConnectFailed: connection_manager.on_connect_failed,
            messages.MessageReceived: self._on_message,
            messages.FactPublished: disseminator.on_fact_published,
            messages.Leaving: disseminator.on_leaving,
            messages.TableAvailable: tables.on_table_available,
            messages.TableWanted: tables.on_table_wanted,
        }
        open_state = streams.StreamState.OPEN
        self._message_handlers: dict[
            tuple[streams.StreamState, type], Callable[..., Actions]
        ] = {
            (
                streams.StreamState.AWAITING_HELLO,
                messages.Hello,
            ): connection_manager.on_hello,
            (
                streams.StreamState.AWAITING_PROOF,
                messages.Welcome,
            ): connection_manager.on_welcome,
            (open_state, messages.Heartbeat): disseminator.on_heartbeat,
            (open_state, messages.Facts): disseminator.on_facts,
            (open_state, messages.FactsRequest): disseminator.on_facts_request,
            (open_state, messages.TableRequest): tables.on_request,
            (open_state, messages.TableContent): tables.on_content,
        }

    @property
    def own(self) -> members.Member:
        """This daemon with its current incarnation."""
        return self.state.own

    def handle(self, event: messages.Event, now_s: float) -> Actions:
        """Processes one event.

        Args:
            event: The event.
            now_s: Monotonic time in seconds.

        Returns:
            The actions to perform, in order.
        """
        return self._event_handlers[type(event)](event, now_s)

    def tick(self, now_s: float) -> Actions:
        """Runs the periodic tasks that are due.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The actions to perform, in order.
        """
        last_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_s is not None and now_s - last_s > PAUSE_THRESHOLD_S:
            self._connection_manager.restart_silence_timers(now_s)
        actions: Actions = []
        for task in self._periodic_tasks:
            actions += task(now_s)
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
            return self._connection_manager.close_stream(row, now_s)
        row.last_received_s = now_s
        return handler(row, event.message, now_s)
