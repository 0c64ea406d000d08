"""Client requests and the header names of a deployment."""

from collections.abc import Iterable
import dataclasses

# Connection-specific headers (RFC 9110, section 7.6.1), and those that the
# relay handles or sets itself.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
LAST_EVENT_ID = b"last-event-id"
RETRY_AFTER = b"retry-after"
EVENT_STREAM = b"text/event-stream"
# Longest decimal integer that is read; 64 bits hold one of 18 digits.
MAX_INTEGER_DIGITS = 18

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of the deployment's protocol, in lower case.

    Attributes:
        request_id: Id of one attempt of a client.
        time_left_ms: Remaining time that the sender waits, in milliseconds.
        key: The client's key.
        account: Client account that the relay sends to a target.
        expected_target: Target id; a target with another id refuses.
        expected_weights: Version of the weights that a target must have.
        not_run: Marks the response of a target that did not run the request.
        proof: Proves that a target created the response.
        target_load: Running requests, waiting requests and slots of a target,
            and how long its work takes in percent, if it reports that.
        weights: Version of the weights that produced a response.
        copy_memory_to: Address of the target that stores a memory copy.
        continue_from: Reference of the memory copy that a run continues from.
        target_id: Id that a target reports for itself.
        token_counts: Tokens of the prompt and maximum tokens of the response.
        prompt_parts: Ids and tokens of the parts of the prompt, in order.
        draining: Whether a target is going to stop; `1` if so.
        priority: Rank of a request that the relay sends to an engine.
        set_by_relay: Headers that only the relay may set.
    """

    request_id: bytes
    time_left_ms: bytes
    key: bytes
    account: bytes
    expected_target: bytes
    expected_weights: bytes
    not_run: bytes
    proof: bytes
    target_load: bytes
    weights: bytes
    copy_memory_to: bytes
    continue_from: bytes
    target_id: bytes
    token_counts: bytes
    prompt_parts: bytes
    draining: bytes
    priority: bytes
    set_by_relay: frozenset[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """One complete client request.

    Attributes:
        method: HTTP method.
        target: Request target, that is path and query, as sent.
        host: Host name in lower case, without a port.
        request_id: Id of the client's attempt, as sent.
        key: The client's key, or an empty string.
        time_left_s: How long the client waits, counted from `received_at_s`.
        last_event_id: Id of the last event of the stream that the client has,
            or None.
        prompt_tokens: Tokens of the prompt, or 0 if not given.
        answer_tokens: Maximum tokens of the answer, or 0 if not given.
        shared_parts: Ids of the parts of the prompt that other requests may
            share, in order; the last part of a prompt is its own.
        headers: Headers to forward, with their original spelling.
        body: The body.
        received_at_s: When the head was complete, on the monotonic clock.
    """

    method: bytes
    target: bytes
    host: str
    request_id: str
    key: str
    time_left_s: float
    last_event_id: int | None
    prompt_tokens: int
    shared_parts: tuple[str, ...]
    headers: Headers
    body: bytes
    received_at_s: float
    answer_tokens: int = 0

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def content(self) -> tuple[bytes, bytes, bytes, bytes]:
        """What the request asks for: method, host, target and body."""
        return (self.method, self.host.encode(), self.target, self.body)


class MalformedRequestError(Exception):
    """An invalid request, which is not forwarded.

    Attributes:
        status: HTTP status of the error response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def header_values(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> list[str]:
    """Returns all values of a header; `name` is in lower case."""
    return [
        value.decode("latin-1")
        for header, value in headers
        if header.lower() == name
    ]


def single_header_value(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> str | None:
    """Returns the value of a header, or None unless it occurs once."""
    values = header_values(headers, name)
    return values[0] if len(values) == 1 else None


def parse_unsigned_int(text: str | None) -> int | None:
    """Returns the non-negative integer that `text` contains, or None.

    An integer of more than `MAX_INTEGER_DIGITS` digits counts as none.
    """
    if text is None or not text.isascii() or not text.isdigit():
        return None
    if len(text) > MAX_INTEGER_DIGITS:
        return None
    return int(text)


def forwarded_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Returns the headers without connection-specific and dropped ones."""
    named = {
        token.strip().lower().encode("latin-1")
        for value in header_values(headers, b"connection")
        for token in value.split(",")
    }
    skipped = CONNECTION_HEADERS | dropped | named
    return tuple(item for item in headers if item[0].lower() not in skipped)
