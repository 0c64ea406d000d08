"""Tests of peer streams over TCP sockets on loopback."""

from gevent import queue
from gevent import socket

from rattanpulley_core import peers
from rattanpulleyd._internal.peers import tcp_streams

WAIT_S = 20


def start():
    events = queue.Queue()
    streams = tcp_streams.TcpPeerStreams("127.0.0.1", 0, events.put)
    streams.start()
    return streams, events


def test_two_daemons_exchange_messages():
    near, near_events = start()
    far, far_events = start()
    near.open(peers.OpenStream(f"127.0.0.1:{far.port}"))
    opened = near_events.get(timeout=WAIT_S)
    accepted = far_events.get(timeout=WAIT_S)
    near.send(peers.Send(opened.stream_id, peers.Heartbeat(5)))
    received = far_events.get(timeout=WAIT_S)
    assert received == peers.MessageReceived(
        accepted.stream_id, peers.Heartbeat(5)
    )
    near.close(peers.CloseStream(opened.stream_id))
    closed = far_events.get(timeout=WAIT_S)
    assert closed == peers.StreamClosed(accepted.stream_id)
    assert near_events.empty()
    near.stop()
    far.stop()


def test_refused_connection_is_reported():
    streams, events = start()
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        streams.open(peers.OpenStream(address))
        event = events.get(timeout=WAIT_S)
    assert event == peers.ConnectFailed(address)
    streams.stop()


def test_malformed_bytes_end_the_stream():
    # Guards against clients of other protocols that keep a stream open.
    streams, events = start()
    with socket.create_connection(("127.0.0.1", streams.port)) as client:
        opened = events.get(timeout=WAIT_S)
        client.sendall(b"\xc1 GET / HTTP/1.1\r\n\r\n")
        closed = events.get(timeout=WAIT_S)
    assert closed == peers.StreamClosed(opened.stream_id)
    assert streams.counters.broken_streams == 1
    streams.stop()
