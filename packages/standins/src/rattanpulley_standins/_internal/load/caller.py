"""Caller of the daemons that reconnects and checks its answer."""

from collections.abc import Sequence
import dataclasses
import json
import time
from typing import Any

from rattanpulley_standins._internal.load import checker as checker_lib
from rattanpulley_standins._internal.load import event_source
from rattanpulley_standins._internal.load import record as record_lib

# Longer than the interval of 2 s at which daemons send a comment while there
# are no tokens.
READ_TIMEOUT_S = 5.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
RETRY_STATUSES = (429, 503)
DONE = "[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRequest:
    """Request of a caller for one answer.

    Attributes:
        key: Idempotency-Key; it also makes the prompt unique.
        length: Number of tokens of the answer.
        model: Model name.
        account: Account in the bearer token.
        timeout_s: Time after which the caller gives up, in seconds.
        prompt_words: Number of words added to the prompt.
    """

    key: str
    length: int
    model: str = "assistant"
    account: str = "acme"
    timeout_s: float = 120.0
    prompt_words: int = 0

    @property
    def prompt(self) -> str:
        """Prompt that sets the length of the engine's answer."""
        words = " ".join(["word"] * self.prompt_words)
        return f"length={self.length} {self.key} {words}".rstrip()

    def new_record(self) -> record_lib.AnswerRecord:
        """Returns an empty record whose start time is now."""
        checker = checker_lib.AnswerChecker(self.length)
        return record_lib.AnswerRecord(self.prompt, checker, time.monotonic())


class DaemonCaller:
    """Reads one answer from any of several daemons.

    Args:
        urls: Base URLs of the daemons, in the order in which they are tried.
        request: Request to send.

    Attributes:
        record: Record of the answer so far.
    """

    def __init__(self, urls: Sequence[str], request: AnswerRequest) -> None:
        self.record = request.new_record()
        self._urls = list(urls)
        self._request = request
        self._last_event_id = ""
        self._attempts = 0
        self._retry_delay_s = MIN_RETRY_S

    def run(self) -> record_lib.AnswerRecord:
        """Reads until the answer ends, fails or times out."""
        end_s = self.record.started_s + self._request.timeout_s
        while not self.record.checker.finished and not self.record.error:
            if time.monotonic() > end_s:
                self.record.error = "timed out"
                break
            self._attempt_once()
        return self.record

    def _attempt_once(self) -> None:
        url = self._urls[self._attempts % len(self._urls)]
        self._attempts += 1
        try:
            self._read_stream(url)
        except event_source.ConnectionLostError:
            self.record.reconnects += 1
            self._wait_before_retry(None)
        except event_source.HttpStatusError as error:
            self._handle_status_error(error)

    def _read_stream(self, url: str) -> None:
        self.record.server = url
        source = event_source.EventSource(
            f"{url}/v1/completions",
            "POST",
            self._body(),
            self._headers(),
            READ_TIMEOUT_S,
        )
        for event in source:
            if event.name == "error":
                self.record.error = _error_text(json.loads(event.data))
                return
            if event.event_id:
                self._last_event_id = event.event_id
            if event.data == DONE:
                self.record.checker.finish()
                return
            self._receive(json.loads(event.data))
        raise event_source.ConnectionLostError(
            "the stream ended without an end marker"
        )

    def _receive(self, chunk: dict[str, Any]) -> None:
        for choice in chunk["choices"]:
            count = self.record.checker.feed(choice.get("text") or "")
            self.record.record_tokens(count, time.monotonic())
        self._retry_delay_s = MIN_RETRY_S

    def _handle_status_error(self, error: event_source.HttpStatusError) -> None:
        if error.status not in RETRY_STATUSES:
            self.record.error = _error_text(error.body)
            return
        self.record.refusals += 1
        self._wait_before_retry(error.retry_after_s)

    def _wait_before_retry(self, retry_after_s: float | None) -> None:
        # Another daemon may accept the request immediately, so Retry-After
        # applies only after all daemons were tried.
        is_round_over = self._attempts % len(self._urls) == 0
        wait_s = self._retry_delay_s
        if retry_after_s is not None and is_round_over:
            wait_s = max(wait_s, retry_after_s)
        time.sleep(wait_s)
        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_S)

    def _body(self) -> dict[str, Any]:
        return {
            "model": self._request.model,
            "prompt": self._request.prompt,
            "max_tokens": self._request.length,
            "temperature": 0.7,
            "stream": True,
        }

    def _headers(self) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._request.account}.load",
            "Idempotency-Key": self._request.key,
        }
        if self._last_event_id:
            headers["Last-Event-ID"] = self._last_event_id
        return headers


def _error_text(body: Any) -> str:
    try:
        error = body["error"]
        return f"{error['code']} {error['name']}: {error['message']}"
    except (KeyError, TypeError):
        return f"response without an error code: {body}"
