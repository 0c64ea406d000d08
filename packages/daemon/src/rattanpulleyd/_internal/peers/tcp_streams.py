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

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MAX_QUEUED_MESSAGES = 1_000


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts since the start."""

    broken_streams: int = 0
    full_queues: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    unknown_messages: int = 0


class _Stream:
    """One connection with its reader, its writer and its queue."""

    def __init__(self, stream_id: int, connection: Any) -> None:
        self.stream_id = stream_id
        self.connection = connection
        self.outbox: queue.Queue = queue.Queue(MAX_QUEUED_MESSAGES)


class TcpPeerStreams(interfaces.PeerStream):
    """Listens for peers and connects to them.

    Attributes:
        counters: Counts by name.
    """

    def __init__(
        self, host: str, port: int, sink: interfaces.PeerEventSink
    ) -> None:
        self.counters = Counters()
        self._sink = sink
        self._ids = itertools.count(1)
        self._streams_by_id: dict[int, _Stream] = {}
        self._server = server.StreamServer((host, port), self._accept)

    def start(self) -> None:
        """Begins to accept streams."""
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

    def open(self, order: peers.OpenStream) -> None:
        """Connects in a greenlet of its own."""
        gevent.spawn(self._connect, order.address)

    def send(self, order: peers.Send) -> None:
        """Queues a message; a full queue means a peer that does not read."""
        stream = self._streams_by_id.get(order.stream_id)
        if stream is None:
            return
        try:
            stream.outbox.put_nowait(peer_codec.encode(order.message))
        except queue.Full:
            self.counters.full_queues += 1
            self._end(stream)

    def close(self, order: peers.CloseStream) -> None:
        """Closes a stream without an event."""
        stream = self._streams_by_id.pop(order.stream_id, None)
        if stream is not None:
            _shut(stream)

    def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            connection = socket.create_connection(
                (host, int(port)), CONNECT_TIMEOUT_S
            )
        except (OSError, ValueError):
            self._sink(peers.ConnectFailed(address))
            return
        connection.settimeout(None)
        self._run(connection, address)

    def _accept(self, connection: Any, _address: Any) -> None:
        self._run(connection, None)

    def _run(self, connection: Any, address: str | None) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = _Stream(next(self._ids), connection)
        self._streams_by_id[stream.stream_id] = stream
        self._sink(peers.StreamOpened(stream.stream_id, address))
        writer = gevent.spawn(self._write, stream)
        try:
            self._read(stream)
        finally:
            self._end(stream)
            writer.kill(block=False)

    def _read(self, stream: _Stream) -> None:
        unpacker = peer_codec.make_unpacker()
        try:
            while data := stream.connection.recv(READ_BYTES):
                self.counters.received_bytes += len(data)
                unpacker.feed(data)
                for value in unpacker:
                    self._receive(stream, value)
        except (OSError, ValueError, peer_codec.MalformedMessageError):
            # ValueError covers msgpack's format and buffer errors.
            self.counters.broken_streams += 1

    def _receive(self, stream: _Stream, value: Any) -> None:
        message = peer_codec.decode(value)
        if message is None:
            self.counters.unknown_messages += 1
        elif stream.stream_id in self._streams_by_id:
            self._sink(peers.MessageReceived(stream.stream_id, message))

    def _write(self, stream: _Stream) -> None:
        try:
            while True:
                data = stream.outbox.get()
                stream.connection.sendall(data)
                self.counters.sent_bytes += len(data)
        except OSError:
            self._end(stream)

    def _end(self, stream: _Stream) -> None:
        if self._streams_by_id.pop(stream.stream_id, None) is not None:
            _shut(stream)
            self._sink(peers.StreamClosed(stream.stream_id))


def _shut(stream: _Stream) -> None:
    # shutdown wakes the greenlet that waits in recv; close alone does not.
    with contextlib.suppress(OSError):
        stream.connection.shutdown(socket.SHUT_RDWR)
    stream.connection.close()
