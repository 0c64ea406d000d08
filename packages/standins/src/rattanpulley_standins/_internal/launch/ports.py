"""Free ports on loopback."""

import socket

HOST = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Returns different ports that were free when all of them were bound."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
