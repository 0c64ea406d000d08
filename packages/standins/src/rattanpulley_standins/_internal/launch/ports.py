"""Ports for the processes of a deployment on loopback."""

from collections.abc import Iterator
import itertools
import os
import socket

HOST = "127.0.0.1"
# Below the kernel's ephemeral range, from which connections and servers without
# a fixed port could take one before the process that was given it listens.
FIRST_PORT = 10_000
PORT_BLOCKS = 70
PORTS_PER_BLOCK = 100


def free_ports(count: int) -> list[int]:
    """Returns different ports on which nothing listens.

    They begin in a block that depends on the process, and no call returns those
    of the call before: deployments may start at the same time.

    Args:
        count: Number of ports.
    """
    return list(itertools.islice(_FREE, count))


def _candidates() -> Iterator[int]:
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    last = FIRST_PORT + PORT_BLOCKS * PORTS_PER_BLOCK
    return itertools.cycle([*range(first, last), *range(FIRST_PORT, first)])


def _is_free(port: int) -> bool:
    try:
        socket.create_server((HOST, port)).close()
    except OSError:
        return False
    return True


_FREE = filter(_is_free, _candidates())
