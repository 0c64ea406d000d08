"""Process tests of failures, reconnects, malformed requests and draining."""

from collections.abc import Iterator
import contextlib
from http import client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any
import urllib.parse

import openai
import pytest

from rattanpulley_standins import launcher

pytestmark = pytest.mark.processes

TIMEOUT_S = 30.0
TOKENS = 120
RECOMPUTED = "recomputed_prefix_tokens"
BODY = {
    "model": "assistant",
    "prompt": f"length={TOKENS}",
    "seed": 1,
    "stream": True,
}


@pytest.fixture(scope="module")
def deployment() -> Iterator[launcher.Deployment]:
    options = launcher.Options(
        engines_per_domain=2, token_interval_ms=10, versions=("v1",)
    )
    with launcher.Deployment(options) as running:
        yield running


def _open_connection(url: str) -> client.HTTPConnection:
    parts = urllib.parse.urlsplit(url)
    return client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=TIMEOUT_S
    )


def _send_request(
    url: str, path: str, data: bytes | None = None, method: str = "POST"
) -> tuple[int, Any]:
    connection = _open_connection(url)
    connection.request(method, path, data, {"Authorization": "Bearer acme.x"})
    response = connection.getresponse()
    answer = response.status, json.loads(response.read())
    connection.close()
    return answer


class Stream:
    """One streamed answer that is read line by line."""

    def __init__(self, url: str, key: str, last_event_id: str = "") -> None:
        self.event_id = last_event_id
        self.texts: list[str] = []
        self.is_complete = False
        headers = {"Authorization": "Bearer acme.x", "Idempotency-Key": key}
        if last_event_id:
            headers["Last-Event-ID"] = last_event_id
        self._connection = _open_connection(url)
        self._connection.request(
            "POST", "/v1/completions", json.dumps(BODY), headers
        )
        self._response = self._connection.getresponse()
        assert self._response.status == 200, self._response.read()

    def read(self, count: int = TOKENS + 1) -> "Stream":
        """Reads up to `count` more tokens, or to the end of the answer."""
        end = len(self.texts) + count
        while not self.is_complete and len(self.texts) < end:
            line = self._response.readline().decode().rstrip("\n")
            assert not line.startswith("event: error"), self._response.read()
            if line.startswith("id: "):
                self.event_id = line[4:]
            elif line == "data: [DONE]":
                self.is_complete = True
            elif line.startswith("data: "):
                text = json.loads(line[6:])["choices"][0]["text"]
                self.texts += [text] if text else []
        return self

    @property
    def target(self) -> str:
        """Target named in the latest event id."""
        return self.event_id.split(":")[3]

    def expected(self) -> list[str]:
        """Returns the tokens of the complete answer of this generation."""
        start = self.event_id.split(":")[1][:8]
        return [f"{start}.v1.{index} " for index in range(TOKENS)]


def test_official_client_reads_complete_and_streamed_answers(
    deployment: launcher.Deployment,
) -> None:
    """Guards against answers that the official client cannot parse."""
    api = openai.OpenAI(
        base_url=f"{deployment.url('entry-1')}/v1",
        api_key="acme.x",
        max_retries=0,
        timeout=TIMEOUT_S,
    )
    assert [model.id for model in api.models.list()] == ["assistant"]
    messages: Any = [{"role": "user", "content": "length=5"}]
    complete = api.chat.completions.create(model="assistant", messages=messages)
    message = complete.choices[0].message.content or ""
    assert [part.split(".")[2] for part in message.split()] == list("01234")
    assert complete.usage is not None
    assert complete.usage.completion_tokens == 5
    parts = list(
        api.chat.completions.create(
            model="assistant", messages=messages, stream=True
        )
    )
    texts = [part.choices[0].delta.content or "" for part in parts]
    assert len("".join(texts).split()) == 5
    assert parts[-1].choices[0].finish_reason == "stop"
    completion = api.completions.create(model="assistant", prompt="length=3")
    assert len(completion.choices[0].text.split()) == 3
    with pytest.raises(openai.NotFoundError) as raised:
        api.completions.create(model="other", prompt="p")
    assert raised.value.body["code"] == 1102


def test_engine_killed_in_the_middle(deployment: launcher.Deployment) -> None:
    """Guards against lost, repeated and foreign tokens (G1, G2)."""
    stream = Stream(deployment.url("entry-1"), "killed").read(40)
    target = stream.target
    deployment.kill(target)
    stream.read()
    assert stream.texts == stream.expected()
    assert stream.target != target
    deployment.restart(target)


def test_connections_go_silent(
    deployment: launcher.Deployment,
) -> None:
    """Guards against an answer that stops on an unresponsive connection."""
    stream = Stream(deployment.url("entry-1"), "silent").read(40)
    target = stream.target
    computed = deployment.stats(target)[RECOMPUTED]
    deployment.set_faults(target, {"silent_connections": True})
    stream.read()
    assert stream.texts == stream.expected()
    assert stream.target == target
    assert deployment.stats(target)[RECOMPUTED] == computed


def test_engine_paused_and_continued(deployment: launcher.Deployment) -> None:
    """Guards against tokens of the old attempt after a pause."""
    stream = Stream(deployment.url("entry-1"), "paused").read(40)
    target = stream.target
    deployment.pause(target)
    stream.read(40)
    assert stream.target != target
    deployment.resume(target)
    stream.read()
    assert stream.texts == stream.expected()


def test_daemon_killed_and_caller_reconnects(
    deployment: launcher.Deployment,
) -> None:
    """Guards against lost or repeated tokens when a daemon fails."""
    first = Stream(deployment.url("entry-1"), "daemon").read(40)
    deployment.kill("entry-1")
    second = Stream(deployment.url("entry-2"), "daemon", first.event_id)
    second.read()
    assert first.texts[:40] + second.texts == second.expected()
    assert second.target == first.target
    deployment.restart("entry-1")


def test_daemon_and_engine_killed(deployment: launcher.Deployment) -> None:
    """Guards against mixing two generations after a double failure."""
    first = Stream(deployment.url("entry-1"), "double").read(40)
    target = first.target
    deployment.kill_all(["entry-1", target])
    second = Stream(deployment.url("entry-2"), "double", first.event_id)
    second.read()
    assert first.texts[:40] + second.texts == second.expected()
    assert second.target != target
    deployment.restart("entry-1")
    deployment.restart(target)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b'{"model":1}',
        b'{"model":"assistant","prompt":"p","max_tokens":-1}',
        b'{"model":"assistant","prompt":"\\ud800"}',
    ],
)
def test_malformed_body_is_refused(
    deployment: launcher.Deployment, data: bytes
) -> None:
    """Guards against internal errors for malformed bodies."""
    url = deployment.url("entry-1")
    status, body = _send_request(url, "/v1/completions", data)
    assert (status, body["error"]["code"]) == (400, 1101)
    assert body["error"]["run"] == "not_run"


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\x00\xff" * 40 + b"\r\n\r\n",
    ],
)
def test_bytes_that_are_not_http(
    deployment: launcher.Deployment, data: bytes
) -> None:
    """Guards against a daemon that fails because of one bad connection."""
    parts = urllib.parse.urlsplit(deployment.url("entry-1"))
    address = (parts.hostname, parts.port)
    with (
        socket.create_connection(address, TIMEOUT_S) as connection,
        # The daemon may close the connection before all bytes are sent.
        contextlib.suppress(OSError),
    ):
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        connection.recv(1000)
    status, body = _send_request(
        deployment.url("entry-1"), "/ready", method="GET"
    )
    assert (status, body["ready"]) == (200, True)


def _start_daemon(settings: Any, path: pathlib.Path) -> Any:
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanpulleyd", "serve", "--settings", path],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    for line in process.stderr:
        if "table routes" in line:
            break
    return process


def test_drain(deployment: launcher.Deployment, tmp_path: pathlib.Path) -> None:
    """Guards against a graceful shutdown that interrupts answers (G8)."""
    deployment.kill("entry-1")
    daemon = next(d for d in deployment.daemons if d.name == "entry-1")
    settings = deployment.plan.daemon_settings(daemon)
    process = _start_daemon(settings, tmp_path / "settings.json")
    stream = Stream(daemon.url, "drain").read(40)
    process.send_signal(signal.SIGTERM)
    for line in process.stderr:
        if "draining" in line:
            break
    assert _send_request(daemon.url, "/ready", method="GET")[0] == 503
    status, body = _send_request(
        daemon.url, "/v1/completions", json.dumps(BODY).encode()
    )
    assert (status, body["error"]["code"]) == (503, 1203)
    assert body["error"]["run"] == "not_run"
    stream.read()
    assert stream.texts == stream.expected()
    assert process.wait(TIMEOUT_S) == 0
    process.stderr.close()
    deployment.restart("entry-1")


def test_lost_answer_does_not_run_twice(
    deployment: launcher.Deployment,
) -> None:
    """Guards against a second run of a call that must run once (G6)."""
    for service in deployment.services:
        deployment.set_faults(service.name, {"lose_answers": 1})
    codes = []
    for daemon in deployment.daemons:
        connection = _open_connection(daemon.url)
        headers = {"Authorization": "Bearer acme.x", "Idempotency-Key": "once"}
        connection.request("POST", "/services/deposits/a", b"{}", headers)
        response = connection.getresponse()
        codes.append(json.loads(response.read())["error"]["code"])
        connection.close()
    assert codes == [1304, 1304]
    runs = [deployment.stats(s.name)["runs"] for s in deployment.services]
    assert sum(runs) == 1
