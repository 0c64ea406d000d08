"""Parses a client's request, and the sizes that its head has or states."""

import re

import h11

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import connection_ends
from rattanpulleyd._internal.relay import wire

# h11 applies the limit of the head to its buffer, which also holds bytes that
# follow the head in the same read.
HEAD_SLACK_BYTES = 1024
# What a request line and a header line have at least besides their parts:
# spaces and version, or a colon, and the line end.
HEAD_LINE_BYTES = 12
HEADER_LINE_BYTES = 3
_HEAD_END = re.compile(rb"\n\r?\n")


def new_parser(max_head_bytes: int) -> h11.Connection:
    """Returns a parser for the requests of one connection."""
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=max_head_bytes + HEAD_SLACK_BYTES
    )


def parse(
    http: h11.Connection,
) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
    """Returns the next event of a parser.

    Raises:
        ConnectionEndedError: The connection has ended within a request.
        wire.MalformedRequestError: The request is invalid.
    """
    try:
        return http.next_event()
    except h11.RemoteProtocolError as error:
        if http.trailing_data[1]:
            raise connection_ends.ConnectionEndedError from error
        raise wire.MalformedRequestError(
            error.error_status_hint, str(error)
        ) from error


def size_bytes(head: h11.Request) -> int:
    """Returns the least size with which a head can have been sent."""
    size = len(head.method) + len(head.target) + HEAD_LINE_BYTES
    for name, value in head.headers:
        size += len(name) + len(value) + HEADER_LINE_BYTES
    return size


def check_size(head: h11.Request, max_bytes: int) -> None:
    """Checks a head that arrived at once; h11 limits incomplete ones.

    Raises:
        wire.MalformedRequestError: The head exceeds the limit.
    """
    if size_bytes(head) > max_bytes:
        raise wire.MalformedRequestError(431, "head too long")


def cost_bytes(arrived: bytes) -> int:
    """Returns the memory that a head takes when it is parsed.

    Lines of a few bytes take many times their size.

    Args:
        arrived: Bytes from the beginning of a request. A head that is not
            complete is not parsed and takes only its size.
    """
    end = _HEAD_END.search(arrived)
    if end is None:
        return len(arrived)
    lines = arrived.count(b"\n", 0, end.end())
    return end.end() + lines * serving.HEADER_LINE_BYTES


def declared_length(head: h11.Request) -> int | None:
    """Returns the length of the body, or None if the head does not have it."""
    length = wire.single_header_value(
        head.headers.raw_items(), b"content-length"
    )
    return wire.parse_unsigned_int(length)
