"""A TCP proxy that can cut its connections without closing them."""

import contextlib
import socket
import threading

READ_BYTES = 65_536


class Proxy:
    """Forwards connections to one address.

    While it is cut, nothing passes in either direction and no connection is
    closed; what was held up passes when the cut heals.
    """

    def __init__(self, target: str) -> None:
        """Starts to accept connections.

        Args:
            target: IP:PORT to which connections are forwarded.
        """
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._open = threading.Event()
        self._open.set()
        self._socket = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """IP address and port."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def cut(self) -> None:
        """Cuts all connections, also new ones."""
        self._open.clear()

    def heal(self) -> None:
        """Ends the cut."""
        self._open.set()

    def close(self) -> None:
        """Stops accepting connections."""
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._forward, args=(client,), daemon=True
            ).start()

    def _forward(self, client: socket.socket) -> None:
        self._open.wait()
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        for source, sink in ((client, server), (server, client)):
            threading.Thread(
                target=self._pump, args=(source, sink), daemon=True
            ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                self._open.wait()
                sink.sendall(data)
        self._open.wait()
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
