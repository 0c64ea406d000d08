"""Peer cores on a simulated network, for tests and measurements.

Time advances only in `run`. Sent bytes are counted as the daemon encodes them.
"""

import collections
import random
import time

from rattanpulley_adapters import peer_codec
from rattanpulley_core import peers

TICK_S = 0.25


def make_member(
    name: str, domain: str = "north", incarnation: int = 1
) -> peers.Member:
    """Returns a member whose address the fleet can resolve."""
    return peers.Member(name, domain, f"{name}:1", incarnation)


class Fleet:
    """Running peer cores and the simulated streams between them.

    Messages between a pair of daemons with a blocked link are lost.

    Attributes:
        now_s: Time of the fleet.
        keys: Peer keys of the daemons that are added from now on.
        cores_by_name: Running daemons.
        received_by_name: Actions for the daemons' other components, by daemon.
        paused: Names of the daemons that process no events.
        blocked_links: Pairs of names between which no message passes.
        sent_bytes: Bytes sent by all daemons.
        sent_messages: Messages sent by all daemons, by type.
        cpu_s: Processor time spent in the cores, in seconds.
    """

    def __init__(self, keys: tuple[bytes, ...] = (b"key",)) -> None:
        self.now_s = 0.0
        self.keys = keys
        self.cores_by_name: dict[str, peers.PeerCore] = {}
        self.received_by_name: dict[str, list[peers.Action]] = {}
        self.paused: set[str] = set()
        self.blocked_links: set[frozenset[str]] = set()
        self.sent_bytes = 0
        self.sent_messages: collections.Counter[str] = collections.Counter()
        self.cpu_s = 0.0
        self._next_stream = 0
        # By the stream id of one end: name and stream id of the other end.
        self._links: dict[int, tuple[str, int]] = {}
        self._queue: collections.deque[tuple[str, peers.Event]] = (
            collections.deque()
        )

    def add(self, member: peers.Member, seeds: tuple[str, ...] = ()) -> None:
        """Starts a daemon without any state."""
        settings = peers.PeerSettings(member, seeds, self.keys)
        rng = random.Random(member.name)
        self.cores_by_name[member.name] = peers.PeerCore(settings, rng)
        self.received_by_name.setdefault(member.name, [])

    def kill(self, name: str) -> None:
        """Stops a daemon and closes its streams at its peers."""
        core = self.cores_by_name.pop(name)
        for row in list(core.state.stream_table):
            self._close_stream(row.stream_id)

    def post(self, name: str, event: peers.Event) -> None:
        """Queues an event for a daemon."""
        self._queue.append((name, event))

    def run(self, seconds: float) -> None:
        """Ticks all running cores and delivers their messages."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += TICK_S
            for name in sorted(self.cores_by_name):
                if name not in self.paused:
                    start_s = time.process_time()
                    actions = self.cores_by_name[name].tick(self.now_s)
                    self.cpu_s += time.process_time() - start_s
                    self._execute(name, actions)
            self._deliver()

    def states_at(self, name: str) -> dict[str, peers.MemberState]:
        """Returns the states of the other members as one daemon knows them."""
        rows = self.cores_by_name[name].state.peer_table
        return {row.member.name: row.member.state for row in rows}

    def _deliver(self) -> None:
        deferred = []
        while self._queue:
            name, event = self._queue.popleft()
            if name in self.paused:
                deferred.append((name, event))
            elif name in self.cores_by_name:
                start_s = time.process_time()
                actions = self.cores_by_name[name].handle(event, self.now_s)
                self.cpu_s += time.process_time() - start_s
                self._execute(name, actions)
        self._queue.extend(deferred)

    def _execute(self, name: str, actions: list[peers.Action]) -> None:
        for action in actions:
            if isinstance(action, peers.OpenStream):
                self._open_stream(name, action.address)
            elif isinstance(action, peers.CloseStream):
                self._close_stream(action.stream_id)
            elif isinstance(action, peers.Send):
                self._send_message(name, action)
            else:
                self.received_by_name[name].append(action)

    def _open_stream(self, name: str, address: str) -> None:
        other = address.split(":")[0]
        if other not in self.cores_by_name or self._is_blocked(name, other):
            self.post(name, peers.ConnectFailed(address))
            return
        local_id, remote_id = self._next_stream, self._next_stream + 1
        self._next_stream += 2
        self._links[local_id] = (other, remote_id)
        self._links[remote_id] = (name, local_id)
        self.post(name, peers.StreamOpened(local_id, address))
        self.post(other, peers.StreamOpened(remote_id, None))

    def _close_stream(self, stream_id: int) -> None:
        other = self._links.pop(stream_id, None)
        if other is not None:
            self._links.pop(other[1], None)
            self.post(other[0], peers.StreamClosed(other[1]))

    def _send_message(self, name: str, action: peers.Send) -> None:
        self.sent_bytes += len(peer_codec.encode(action.message))
        self.sent_messages[type(action.message).__name__] += 1
        link = self._links.get(action.stream_id)
        if link is not None and not self._is_blocked(name, link[0]):
            event = peers.MessageReceived(link[1], action.message)
            self.post(link[0], event)

    def _is_blocked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.blocked_links
