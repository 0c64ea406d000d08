"""Peer streams over TCP with gevent."""

import contextlib
import dataclasses
import itertools
from typing import Any

import gevent
from gevent import queue
from gevent import server
from gevent import socket

from rattanpulley_adapters import peer_codec
from rattanpulley_core import interfaces
from rattanpulley_core import peers
from rattanpulleyd._internal.sockets import read_turn

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MAX_QUEUED_MESSAGES = 1_000


@dataclasses.dataclass(slots=True)
class Counters:
    """Counters of the streams since the start."""

    broken_streams: int = 0
    full_queues: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    unknown_messages: int = 0


class _Stream:
    """One connection with its queue of outgoing messages."""

    def __init__(self, stream_id: int, connection: Any) -> None:
        self.stream_id = stream_id
        self.connection = connection
        self.outbox: queue.Queue = queue.Queue(MAX_QUEUED_MESSAGES)


class TcpPeerStreams(interfaces.PeerStream):
    """Accepts connections from peers and connects to them.

    Attributes:
        counters: Counters of all streams.
    """

    def __init__(
        self, host: str, port: int, event_sink: interfaces.PeerEventSink
    ) -> None:
        self.counters = Counters()
        self._event_sink = event_sink
        self._ids = itertools.count(1)
        self._streams_by_id: dict[int, _Stream] = {}
        self._server = server.StreamServer((host, port), self._accept)

    def start(self) -> None:
        """Starts to accept streams."""
        self._server.start()

    def stop(self) -> None:
        """Stops accepting and closes all streams."""
        self._server.stop()
        for stream_id in list(self._streams_by_id):
            self.close(peers.CloseStream(stream_id))

    @property
    def port(self) -> int:
        """Returns the port that the server listens on."""
        port: int = self._server.server_port
        return port

    def open(self, action: peers.OpenStream) -> None:
        """Connects to a peer in a new greenlet."""
        gevent.spawn(self._connect, action.address)

    def send(self, action: peers.Send) -> None:
        """Queues a message.

        A full queue means that the peer does not read; the stream is closed.
        """
        stream = self._streams_by_id.get(action.stream_id)
        if stream is None:
            return
        try:
            stream.outbox.put_nowait(peer_codec.encode(action.message))
        except queue.Full:
            self.counters.full_queues += 1
            self._drop(stream)

    def close(self, action: peers.CloseStream) -> None:
        """Closes a stream without emitting `StreamClosed`."""
        stream = self._streams_by_id.pop(action.stream_id, None)
        if stream is not None:
            _shut_down(stream)

    def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            connection = socket.create_connection(
                (host, int(port)), CONNECT_TIMEOUT_S
            )
        except (OSError, ValueError):
            self._event_sink(peers.ConnectFailed(address))
            return
        connection.settimeout(None)
        self._handle_connection(connection, address)

    def _accept(self, connection: Any, _address: Any) -> None:
        self._handle_connection(connection, None)

    def _handle_connection(self, connection: Any, address: str | None) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = _Stream(next(self._ids), connection)
        self._streams_by_id[stream.stream_id] = stream
        self._event_sink(peers.StreamOpened(stream.stream_id, address))
        writer = gevent.spawn(self._send_messages, stream)
        try:
            self._receive_messages(stream)
        finally:
            self._drop(stream)
            writer.kill(block=False)

    def _receive_messages(self, stream: _Stream) -> None:
        unpacker = peer_codec.make_unpacker()
        turn = read_turn.ReadTurn()
        try:
            while data := stream.connection.recv(READ_BYTES):
                self.counters.received_bytes += len(data)
                unpacker.feed(data)
                for value in unpacker:
                    self._handle_message(stream, value)
                    turn.yield_if_long()
        except (OSError, ValueError, peer_codec.MalformedMessageError):
            # msgpack raises ValueError for format and buffer errors.
            self.counters.broken_streams += 1

    def _handle_message(self, stream: _Stream, value: Any) -> None:
        message = peer_codec.decode(value)
        if message is None:
            self.counters.unknown_messages += 1
        elif stream.stream_id in self._streams_by_id:
            self._event_sink(peers.MessageReceived(stream.stream_id, message))

    def _send_messages(self, stream: _Stream) -> None:
        try:
            while True:
                data = stream.outbox.get()
                stream.connection.sendall(data)
                self.counters.sent_bytes += len(data)
        except OSError:
            self._drop(stream)

    def _drop(self, stream: _Stream) -> None:
        if self._streams_by_id.pop(stream.stream_id, None) is not None:
            _shut_down(stream)
            self._event_sink(peers.StreamClosed(stream.stream_id))


def _shut_down(stream: _Stream) -> None:
    # Unlike close, shutdown wakes the greenlet that is blocked in recv.
    with contextlib.suppress(OSError):
        stream.connection.shutdown(socket.SHUT_RDWR)
    stream.connection.close()
