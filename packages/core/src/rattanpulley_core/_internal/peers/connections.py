"""Streams to neighbours: connecting, handshake, heartbeats and timeouts."""

import collections
import dataclasses

from rattanpulley_core._internal.peers import dissemination
from rattanpulley_core._internal.peers import handshake
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import state as peer_state
from rattanpulley_core._internal.peers import streams
from rattanpulley_core._internal.peers import topology

HEARTBEAT_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0
# The kernel still accepts connections for a paused process. An unanswered
# handshake reveals the pause sooner than silence on an open stream does.
HANDSHAKE_TIMEOUT_S = 1.0
RECONNECT_INTERVAL_S = 1.0
# Each daemon connects to one dead member per interval. Otherwise the two sides
# of a partition that outlasts the suspicion timeout would never reconnect.
REJOIN_INTERVAL_S = 10.0
# A stream is not closed as surplus before this age, so that its initial
# exchange of facts completes.
MIN_STREAM_AGE_S = 5.0
# Number of refused or unanswered connections after which a member is suspected.
CONNECT_FAILURES_TO_SUSPECT = 3

_SILENCE_TIMEOUT_S_BY_STATE = {
    streams.StreamState.AWAITING_HELLO: HANDSHAKE_TIMEOUT_S,
    streams.StreamState.AWAITING_PROOF: HANDSHAKE_TIMEOUT_S,
    streams.StreamState.OPEN: SILENCE_TIMEOUT_S,
}
Actions = peer_state.Actions


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of the peer protocol.

    Attributes:
        own: This daemon; its incarnation must increase on each restart.
        seeds: Addresses to connect to while no stream is open.
        keys: Peer keys; the first one signs proofs, all are accepted.
    """

    own: members.Member
    seeds: tuple[str, ...]
    keys: tuple[bytes, ...]


class ConnectionManager:
    """Maintains one stream to each neighbour."""

    def __init__(
        self,
        settings: PeerSettings,
        state: peer_state.PeerState,
        disseminator: dissemination.Disseminator,
    ) -> None:
        self._seeds = settings.seeds
        self._keys = settings.keys
        self._state = state
        self._disseminator = disseminator
        self._neighbour_selector = topology.NeighbourSelector(state.peer_table)
        self._rejoin_due_s = 0.0
        self._connect_due_by_address: dict[str, float] = {}
        self._failures_by_address: collections.Counter[str] = (
            collections.Counter()
        )

    def restart_silence_timers(self, now_s: float) -> None:
        """Restarts the timeouts of all peers after a pause of this process."""
        self._state.counters.own_pauses += 1
        for row in self._state.stream_table:
            row.last_received_s = now_s
        for member_row in self._state.peer_table:
            member_row.since_s = now_s

    def close_silent_streams(self, now_s: float) -> Actions:
        """Closes silent streams; reconnecting shows if the peer is alive."""
        actions: Actions = []
        for row in self._state.stream_table:
            if (
                now_s - row.last_received_s
                <= _SILENCE_TIMEOUT_S_BY_STATE[row.state]
            ):
                continue
            self._state.counters.silent_streams += 1
            actions.append(messages.CloseStream(row.stream_id))
            actions += self._remove_stream(row, now_s)
        return actions

    def send_heartbeats(self, now_s: float) -> Actions:
        """Sends the heartbeats that are due."""
        actions: Actions = []
        for row in self._state.stream_table.open_rows():
            if now_s - row.last_heartbeat_s < HEARTBEAT_INTERVAL_S:
                continue
            row.last_heartbeat_s = now_s
            heartbeat = messages.Heartbeat(self._state.own.incarnation)
            actions.append(messages.Send(row.stream_id, heartbeat))
        return actions

    def connect_to_neighbours(self, now_s: float) -> Actions:
        """Opens missing streams to neighbours; to seeds too if none is open.

        Attempts on one address are separated by `RECONNECT_INTERVAL_S` with a
        jitter of 50%.
        """
        actions: Actions = []
        for address in sorted(self._missing_addresses()):
            if self._connect_due_by_address.get(address, 0.0) > now_s:
                continue
            jitter = 0.5 + self._state.rng.random()
            self._connect_due_by_address[address] = (
                now_s + RECONNECT_INTERVAL_S * jitter
            )
            actions.append(messages.OpenStream(address))
        return actions

    def _missing_addresses(self) -> set[str]:
        connected = self._state.stream_table.open_peer_names()
        missing = (
            self._neighbour_selector.neighbour_names(self._state.own)
            - connected
        )
        rows_by_name = self._state.peer_table.rows_by_name
        addresses = {rows_by_name[name].member.address for name in missing}
        if not connected:
            addresses |= set(self._seeds)
        in_use = self._state.stream_table.addresses()
        return addresses - in_use - {self._state.own.address}

    def rejoin(self, now_s: float) -> Actions:
        """Connects to a random dead member, in case a partition has healed."""
        if now_s < self._rejoin_due_s:
            return []
        jitter = 0.5 + self._state.rng.random()
        self._rejoin_due_s = now_s + REJOIN_INTERVAL_S * jitter
        dead = self._state.peer_table.in_state(members.MemberState.DEAD)
        addresses = {member.address for member in dead}
        addresses -= self._state.stream_table.addresses()
        if not addresses:
            return []
        address = self._state.rng.choice(sorted(addresses))
        return [messages.OpenStream(address)]

    def close_surplus_streams(self, now_s: float) -> Actions:
        """Closes outgoing streams to peers that are no longer neighbours.

        Nothing is closed if no other stream would remain open.
        """
        rows = self._state.stream_table.open_rows()
        neighbour_names = self._neighbour_selector.neighbour_names(
            self._state.own
        )
        surplus = [
            row
            for row in rows
            if row.address is not None
            and row.peer_name not in neighbour_names
            and now_s - row.opened_s > MIN_STREAM_AGE_S
        ]
        if len(surplus) == len(rows):
            return []
        actions: Actions = []
        for row in surplus:
            actions += self.close_stream(row, now_s)
        return actions

    def on_stream_opened(
        self, event: messages.StreamOpened, now_s: float
    ) -> Actions:
        """Starts the handshake by sending a hello."""
        nonce = self._state.rng.randbytes(handshake.NONCE_BYTES)
        row = streams.StreamRow(
            event.stream_id, event.address, nonce, now_s, now_s, now_s
        )
        self._state.stream_table.rows_by_id[row.stream_id] = row
        hello = messages.Hello(self._state.own, nonce)
        return [messages.Send(event.stream_id, hello)]

    def on_stream_closed(
        self, event: messages.StreamClosed, now_s: float
    ) -> Actions:
        """Removes a stream that the other end or the network closed."""
        row = self._state.stream_table.rows_by_id.get(event.stream_id)
        return self._remove_stream(row, now_s) if row else []

    def _remove_stream(self, row: streams.StreamRow, now_s: float) -> Actions:
        del self._state.stream_table.rows_by_id[row.stream_id]
        incomplete = row.state is not streams.StreamState.OPEN
        if row.address is not None and incomplete:
            return self._count_connect_failure(row.address, now_s)
        if row.address is not None:
            self._connect_due_by_address.pop(row.address, None)
        return []

    def on_connect_failed(
        self, event: messages.ConnectFailed, now_s: float
    ) -> Actions:
        """Counts a failed connection to a member.

        The member becomes suspect after `CONNECT_FAILURES_TO_SUSPECT` failures.
        """
        return self._count_connect_failure(event.address, now_s)

    def _count_connect_failure(self, address: str, now_s: float) -> Actions:
        self._state.counters.connect_failures += 1
        self._failures_by_address[address] += 1
        if self._failures_by_address[address] < CONNECT_FAILURES_TO_SUSPECT:
            return []
        del self._failures_by_address[address]
        actions: Actions = []
        alive = self._state.peer_table.in_state(members.MemberState.ALIVE)
        for member in alive:
            if member.address == address:
                actions += self._disseminator.report_state(
                    member, members.MemberState.SUSPECT, now_s
                )
        return actions

    def close_stream(self, row: streams.StreamRow, now_s: float) -> Actions:
        """Closes a stream and removes its row."""
        return [
            messages.CloseStream(row.stream_id),
            *self._remove_stream(row, now_s),
        ]

    def on_hello(
        self, row: streams.StreamRow, hello: messages.Hello, now_s: float
    ) -> Actions:
        """Replies to a hello with the proof of a shared key.

        A stream to a daemon with this daemon's own name is closed.
        """
        if hello.member.name == self._state.own.name:
            self._state.counters.own_name_refused += 1
            return self.close_stream(row, now_s)
        row.peer_name = hello.member.name
        row.peer_nonce = hello.nonce
        row.state = streams.StreamState.AWAITING_PROOF
        proof = handshake.prove(
            self._keys, self._state.own.name, row.nonce, row.peer_nonce
        )
        return [messages.Send(row.stream_id, messages.Welcome(proof))]

    def on_welcome(
        self, row: streams.StreamRow, welcome: messages.Welcome, now_s: float
    ) -> Actions:
        """Verifies the proof of the peer and requests the facts that differ."""
        proven = handshake.verify(
            self._keys, welcome.proof, row.peer_name, row.peer_nonce, row.nonce
        )
        if not proven:
            self._state.counters.bad_proofs += 1
            return self.close_stream(row, now_s)
        row.state = streams.StreamState.OPEN
        if row.address is not None:
            self._failures_by_address.pop(row.address, None)
        digests = self._state.fact_table.digests()
        return [messages.Send(row.stream_id, messages.FactsRequest(digests))]
