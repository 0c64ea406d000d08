"""Requests of clients, and the header names of a deployment."""

from collections.abc import Iterable
import dataclasses

# Headers that concern one connection (RFC 9110, section 7.6.1), and those that
# the relay answers or sets itself.
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
EVENT_STREAM = b"text/event-stream"

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of the deployment's protocol, in lower case.

    Attributes:
        request_id: Id of one attempt of a client.
        time_left_ms: Milliseconds that the client, or the relay, still waits.
        key: The client's key.
        account: Client account that the relay states to a target.
        expected_target: Target id that must match, or the target refuses.
        expected_weights: Weight version that must match.
        not_run: Marks an answer of a target that did not run the request.
        proof: Proof that an answer is a target's.
        target_load: Requests running, waiting and places of a target.
        weights: Weight version that made an answer.
        copy_memory_to: Target that keeps a copy of the run's memory.
        continue_from: Memory that a run continues from.
        target_id: Id that a target states of itself.
        token_counts: Tokens of the prompt and most tokens of the answer.
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
    set_by_relay: frozenset[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """One complete request of a client.

    Attributes:
        method: HTTP method.
        target: Path and query as the client sent them.
        host: Host name in lower case, without a port.
        request_id: Id of this attempt, as sent.
        key: The client's key, or an empty string.
        time_left_s: How long the client waits, from `received_at_s`.
        last_event_id: Last event that the client has of a stream, or None.
        prompt_tokens: Tokens of the prompt, or 0 when not stated.
        headers: Headers to forward, with their original spelling.
        body: The body.
        received_at_s: When the head was complete.
    """

    method: bytes
    target: bytes
    host: str
    request_id: str
    key: str
    time_left_s: float
    last_event_id: int | None
    prompt_tokens: int
    headers: Headers
    body: bytes
    received_at_s: float

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class MalformedRequestError(Exception):
    """A request that the relay does not forward.

    Attributes:
        status: HTTP status of the refusal.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def header_values(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> list[str]:
    """Returns the values of a header."""
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
    """Returns a non-negative whole number, or None."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return int(text)


def forwarded_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Returns the headers that concern more than one connection."""
    named = {
        token.strip().lower().encode("latin-1")
        for value in header_values(headers, b"connection")
        for token in value.split(",")
    }
    skipped = CONNECTION_HEADERS | dropped | named
    return tuple(item for item in headers if item[0].lower() not in skipped)
