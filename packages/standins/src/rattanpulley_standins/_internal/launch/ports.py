"""Allocation of free loopback ports."""

import socket

HOST = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Returns distinct free ports.

    All of them are bound at the same time and then released, so another process
    can take one before it is used.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
