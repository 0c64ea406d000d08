"""Joins the parts of a message for sending, but copies no large ones."""

from collections.abc import Iterable, Iterator

# Two packets for one cost more than the copy of a part of this size.
MAX_JOINED_BYTES = 64 * 1024


def join_small(parts: Iterable[bytes | None]) -> Iterator[bytes]:
    """Yields the bytes of all parts, in order, in few pieces.

    A copy of a large part would take its memory twice for as long as it is
    sent.
    """
    small = b""
    for part in parts:
        if not part:
            continue
        if len(part) > MAX_JOINED_BYTES:
            if small:
                yield small
            yield part
            small = b""
        else:
            small += part
    if small:
        yield small
