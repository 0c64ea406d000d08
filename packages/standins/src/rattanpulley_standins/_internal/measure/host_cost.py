"""Bytes transferred by a read of the host list, by the number of targets."""

import re
import socket

from rattanpulley_standins import launcher
from rattanpulley_standins._internal.launch import deployment
from rattanpulley_standins._internal.measure import samples

TARGET_COUNTS = (4, 12, 24)
COMMAND = "make measure"
READ_BUFFER_BYTES = 65_536
_ENTITY_TAG = re.compile(rb'ETag: ("[0-9a-f]+")', re.IGNORECASE)


def measure() -> list[samples.Slope]:
    """Returns the slopes of a full response and of one without changes."""
    runs = [_exchange_bytes(count) for count in TARGET_COUNTS]
    return [
        samples.fit(
            name,
            "targets",
            "bytes of request and answer",
            COMMAND,
            [run[index] for run in runs],
        )
        for index, name in enumerate(("hosts.whole", "hosts.unchanged"))
    ]


def _exchange_bytes(count: int) -> tuple[samples.Sample, samples.Sample]:
    """Reads the list of a platform stand-in with and without an entity tag."""
    options = launcher.Options(
        domains=("north",), engines_per_domain=count, daemons=0
    )
    with launcher.Deployment(options) as running:
        url = running.url(deployment.PLATFORM)
        full, response = _read(url, b"")
        found = _ENTITY_TAG.search(response)
        assert found is not None
        unchanged, _ = _read(url, b"If-None-Match: " + found[1] + b"\r\n")
        target_count = len(running.engines) + len(running.services)
    return (
        samples.Sample(target_count, full),
        samples.Sample(target_count, unchanged),
    )


def _read(url: str, condition: bytes) -> tuple[float, bytes]:
    """Returns the bytes of request and response, and the response."""
    host, port = url.removeprefix("http://").split(":")
    # The same headers as urllib3 sends, and a closed connection that marks the
    # end of the response.
    request = (
        b"GET /hosts HTTP/1.1\r\n"
        + f"Host: {host}:{port}\r\n".encode()
        + b"Accept-Encoding: identity\r\n"
        + b"Content-Type: application/json\r\n"
        + b"User-Agent: python-urllib3/2.0.0\r\n"
        + condition
        + b"Connection: close\r\n\r\n"
    )
    response = b""
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(request)
        while data := connection.recv(READ_BUFFER_BYTES):
            response += data
    return float(len(request) + len(response)), response
