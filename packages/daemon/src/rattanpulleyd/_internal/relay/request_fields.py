"""Decodes the headers of a client's request."""

import re

import h11

from rattanpulleyd._internal.relay import wire

DEFAULT_TIME_LEFT_S = 30.0
# Bounds the log lines of a request; prompts have a few parts.
MAX_SHARED_PARTS = 16
MAX_LOGGED_ID_CHARACTERS = 64
_PART_ID = re.compile(r"[0-9a-f]{1,64}")


def decode(
    head: h11.Request,
    body: bytes,
    received_at_s: float,
    names: wire.HeaderNames,
) -> wire.ClientRequest:
    """Validates a request and decodes its headers.

    Args:
        head: Request line and headers.
        body: The complete body.
        received_at_s: When the head was complete, on `clock.now_s`.
        names: Names of the headers.

    Raises:
        wire.MalformedRequestError: The request is invalid.
    """
    headers = tuple(head.headers.raw_items())
    if wire.header_values(headers, b"transfer-encoding") and wire.header_values(
        headers, b"content-length"
    ):
        raise wire.MalformedRequestError(400, "two lengths of the body")
    if not head.target.startswith(b"/"):
        raise wire.MalformedRequestError(400, "the path has no slash")
    request_id = wire.single_header_value(headers, names.request_id)
    if not request_id:
        raise wire.MalformedRequestError(400, "no single request id")
    host = wire.single_header_value(headers, b"host") or ""
    left_ms = wire.parse_unsigned_int(
        wire.single_header_value(headers, names.time_left_ms)
    )
    prompt_tokens, answer_tokens = _token_counts(
        wire.single_header_value(headers, names.token_counts)
    )
    return wire.ClientRequest(
        method=head.method,
        target=head.target,
        host=host.partition(":")[0].lower(),
        request_id=request_id,
        key=wire.single_header_value(headers, names.key) or "",
        time_left_s=(
            DEFAULT_TIME_LEFT_S if left_ms is None else left_ms / 1000
        ),
        last_event_id=wire.parse_unsigned_int(
            wire.single_header_value(headers, wire.LAST_EVENT_ID)
        ),
        prompt_tokens=prompt_tokens,
        shared_parts=_shared_parts(
            wire.single_header_value(headers, names.prompt_parts)
        ),
        headers=wire.forwarded_headers(headers, names.set_by_relay),
        body=body,
        received_at_s=received_at_s,
        answer_tokens=answer_tokens,
    )


def find_request_id(data: bytes, names: wire.HeaderNames) -> str:
    """Returns the id of a request that was not parsed.

    Args:
        data: Bytes from the beginning of the request, which may be cut.
        names: Names of the headers.

    Returns:
        The id, or an empty string if the bytes have none.
    """
    name = re.escape(names.request_id)
    found = re.search(
        rb"^" + name + rb":[ \t]*([!-~]{1,%d})" % MAX_LOGGED_ID_CHARACTERS,
        data,
        re.IGNORECASE | re.MULTILINE,
    )
    return found[1].decode() if found else ""


def _token_counts(text: str | None) -> tuple[int, int]:
    """Returns two comma-separated counts; each that is not one is 0."""
    first, _, rest = (text or "").partition(",")
    second = rest.partition(",")[0]
    return (
        wire.parse_unsigned_int(first.strip()) or 0,
        wire.parse_unsigned_int(second.strip()) or 0,
    )


def _shared_parts(text: str | None) -> tuple[str, ...]:
    """Returns the ids of a list of ID:TOKENS entries, but for the last one.

    Ids that are not hexadecimal, repeated ones and those beyond
    `MAX_SHARED_PARTS` are left out.
    """
    entries = (text or "").split(",")[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    by_id = dict.fromkeys(part for part in ids if _PART_ID.fullmatch(part))
    return tuple(by_id)[:MAX_SHARED_PARTS]
