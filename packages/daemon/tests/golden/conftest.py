"""In-process daemons with fakes whose sessions are recorded in a transcript."""

from collections.abc import Iterator
import io
import json
import os
import pathlib
import random
import sys
from typing import Any

import gevent
import loguru
import pytest

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulley_core import resume_token
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.api import app as app_lib
from rattanpulleyd._internal.api import service_calls
from rattanpulleyd._internal.config import host_poll
from rattanpulleyd._internal.config import table_watch
from rattanpulleyd._internal.runtime import claim_retention
from rattanpulleyd._internal.runtime import http_server
from rattanpulleyd._internal.runtime import runtime as runtime_lib
from rattanpulleyd._internal.settings import parser
from rattanpulleyd._internal.telemetry import counters

DIRECTORY = pathlib.Path(__file__).parent
sys.path.insert(0, str(DIRECTORY))

import golden_fakes  # noqa: E402

WRITE_VARIABLE = "RATTANPULLEY_WRITE_GOLDEN"
KEY = "00112233445566778899aabbccddeeff"

POOLS = {
    "chat": ("engine", ["engine-1", "engine-2"]),
    "plain": ("service", ["service-1", "service-2"]),
}
ROUTES = {
    "chat": {"match": {"model": "m"}, "pool": "chat", "kind": "engine"},
    "stock": {
        "match": {"service": "stock"},
        "pool": "plain",
        "limits_by_account": {"acme": {"concurrent": 1}},
    },
    "pay": {"match": {"service": "pay"}, "pool": "plain", "repeatable": False},
}


def table_values() -> dict[str, Any]:
    """Returns the values of the pool and route tables, by key."""
    pools = {
        pool: {
            "kind": kind,
            "versions": {"v1": {}},
            "targets": {
                name: {
                    "url": f"http://127.0.0.1:{number + 1}",
                    "failure_domain": "north",
                    "version": "v1",
                }
                for number, name in enumerate(names)
            },
        }
        for pool, (kind, names) in POOLS.items()
    }
    routes = {
        name: {"kind": "service", **route} for name, route in ROUTES.items()
    }
    return {
        "tables/pools": {"schema": 1, "rows": pools},
        "tables/routes": {"schema": 1, "rows": routes},
    }


class ManualClock(interfaces.Clock):
    """Clock that only the session advances."""

    now_s = 1000.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return 1_800_000_000.0 + self.now_s


class FakeStore(interfaces.ObjectStore, interfaces.HostList):
    """In-memory object store that is unavailable while `down` is set."""

    def __init__(self, session: "Session") -> None:
        self._session = session
        self.down = False
        self.objects: dict[str, interfaces.StoredObject] = {}
        for key, value in table_values().items():
            self.put(key, value, 0)

    def _check(self, call: str) -> None:
        if self.down:
            raise interfaces.StoreUnavailableError(call)

    def get(self, key: str) -> interfaces.StoredObject | None:
        self._check("get")
        return self.objects.get(key)

    def put(
        self, key: str, value: Any, expected_version: int
    ) -> interfaces.StoredObject:
        self._check("put")
        current = self.objects.get(key)
        version = current.version if current else 0
        if version != expected_version:
            raise interfaces.StoreConflictError(key, version)
        if key.startswith("claims/"):
            self._session.write(f"store < {value['state']} {key[:20]}...")
        stored = interfaces.StoredObject(key, value, version + 1, 1)
        self.objects[key] = stored
        return stored

    def delete(self, key: str, expected_version: int) -> None:
        del self.objects[key]

    def list_objects(self, prefix: str) -> Any:
        self._check("list")
        return list(self.objects.values()), 1

    def watch(self, prefix: str, after: int, timeout_s: float) -> Any:
        return self.list_objects(prefix)

    def fetch(self) -> list[interfaces.HostEntry]:
        self._check("hosts")
        return []


class FakeDaemon:
    """A daemon's real parts, connected to fake engines, services and store."""

    def __init__(self, session: "Session", name: str) -> None:
        self._session = session
        self.name = name
        self.engines = golden_fakes.FakeEngines(session)
        self.services = golden_fakes.FakeServices(session)
        settings = parser.parse(
            {
                "name": name,
                "failure_domain": "north",
                "listen": {"host": "127.0.0.1", "port": 1},
                "platform": {"url": "http://127.0.0.1:1"},
                "statsd": None,
                "resume_keys": [KEY],
                "account_keys": [],
                "peers": None,
                "log_level": "INFO",
            }
        )
        rng = random.Random(1)
        table = targets.TargetTable("north")
        chooser = targets.LeastOutstandingChooser(table, rng)
        signer = resume_token.Signer(settings.resume_keys)
        self.counts = counters.Counters(None)
        self.runtime = runtime_lib.Runtime(
            clock=session.clock,
            core=generations.GenerationCore(
                target_table=table,
                chooser=chooser,
                signer=signer,
                suspect_table=suspects.SuspectTable(),
                rng=rng,
            ),
            target_table=table,
            config=tables.ConfigState(),
            engine=self.engines,
            counts=self.counts,
        )
        self.retention = claim_retention.ClaimRetention(
            session.store, session.clock, self.counts, random.Random(1)
        )
        services = service_calls.ServiceCalls(
            name=name,
            runtime=self.runtime,
            service=self.services,
            store=session.store,
            chooser=chooser,
            retention=self.retention,
            new_token=lambda: f"{rng.getrandbits(128):032x}",
        )
        self.watch = table_watch.TableWatch(
            session.store,
            self.runtime.config,
            session.clock,
            self.counts,
            rng,
            self.runtime.apply_table,
        )
        self.poll = host_poll.HostPoll(
            session.store,
            self.counts,
            self.runtime.apply_hosts,
            random.Random(0),
        )
        api = app_lib.CallerApi(settings, self.runtime, signer, services)
        self._app = api.app

    def request(
        self, path: str, body: Any = None, method: str = "POST", **headers: str
    ) -> "Caller":
        """Starts a request whose answer is written to the transcript."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
            "wsgi.errors": io.StringIO(),
            "HTTP_AUTHORIZATION": "Bearer acme.x",
        }
        in_flight = int(headers.pop("IN_FLIGHT", 0))
        environ[http_server.IN_FLIGHT_KEY] = in_flight
        for name, value in headers.items():
            environ[f"HTTP_{name.upper()}"] = value
        caller = Caller(self._session, self._app, environ)
        shown = f"{data.decode(errors='replace')} {headers}"
        self._session.write(
            f"{caller.name} > {self.name} {method} {path} {shown}"
        )
        caller.greenlet = gevent.spawn(caller.run)
        self._session.run_greenlets()
        return caller


class Caller:
    """One caller's connection."""

    def __init__(self, session: "Session", app: Any, environ: Any) -> None:
        self._session = session
        self._app = app
        self._environ = environ
        session.caller_count += 1
        self.name = f"caller-{session.caller_count}"
        self.data = b""
        self.greenlet: Any = None

    def run(self) -> None:
        """Reads the complete answer."""
        body = self._app(self._environ, self._start_response)
        try:
            for part in body:
                self.data += part
                for line in part.decode().splitlines():
                    self._session.write(f"{self.name} < {line}".rstrip())
        finally:
            getattr(body, "close", lambda: None)()
        self._session.write(f"{self.name} < end of answer")

    def _start_response(self, status: str, headers: Any, *_: Any) -> None:
        shown = [
            f"{name}: {value}"
            for name, value in headers
            if name in ("Content-Type", "Retry-After", "X-Service")
        ]
        self._session.write(f"{self.name} < {status} {shown}")

    def disconnect(self) -> None:
        """Closes the connection."""
        self._session.write(f"{self.name} > disconnects")
        self.greenlet.kill()
        self._session.run_greenlets()

    def last_event_id(self) -> str:
        """Returns the id of the last received event."""
        return self.data.decode().rpartition("id: ")[2].split("\n")[0]


class Session:
    """A transcript, a clock and the daemons that write to the transcript."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.clock = ManualClock()
        self.store = FakeStore(self)
        self.caller_count = 0
        self._daemons: list[FakeDaemon] = []

    def write(self, line: str) -> None:
        """Adds a line to the transcript."""
        self.lines.append(line)

    def daemon(self, name: str = "entry-1") -> FakeDaemon:
        """Returns a new daemon that has loaded its tables."""
        daemon = FakeDaemon(self, name)
        daemon.watch.list_once()
        self._daemons.append(daemon)
        return daemon

    def run_greenlets(self) -> None:
        """Lets the callers' greenlets run until all of them are blocked."""
        for _ in range(5):
            gevent.sleep(0)

    def advance(self, duration_s: float) -> None:
        """Advances the clock in steps of a tick and ticks the daemons."""
        self.write(f"clock + {duration_s} s")
        for _ in range(round(duration_s / runtime_lib.TICK_INTERVAL_S)):
            self.clock.now_s += runtime_lib.TICK_INTERVAL_S
            for daemon in self._daemons:
                daemon.runtime.tick()
                daemon.runtime.log_target_states()
        self.run_greenlets()

    def check(self, name: str) -> None:
        """Compares the transcript and the counters with a golden file."""
        for daemon in self._daemons:
            for counter, total in daemon.counts.totals_by_name().items():
                self.write(f"{daemon.name} counter {counter} {total}")
        text = "\n".join(self.lines) + "\n"
        path = DIRECTORY / f"{name}.txt"
        if os.environ.get(WRITE_VARIABLE):
            path.write_text(text, "utf-8")
        assert text == path.read_text("utf-8")


@pytest.fixture
def session() -> Iterator[Session]:
    loguru.logger.remove()
    new_session = Session()
    loguru.logger.add(
        lambda message: new_session.write(f"log {message}".rstrip()),
        format="{level} {message}",
    )
    yield new_session
    loguru.logger.remove()
