"""HTTP interface of the engine stand-in."""

from collections.abc import Callable
import dataclasses
import random
import threading
import time
from typing import Any

import bottle
import gevent
from gevent import monkey

from rattanpulley_standins._internal import faults
from rattanpulley_standins._internal import serving
from rattanpulley_standins._internal.engine import completion_request
from rattanpulley_standins._internal.engine import engine as engine_lib
from rattanpulley_standins._internal.engine import generation as generation_lib

LOAD_REPORT_LAG_S = 1.0
CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_DROP_INTERVAL = 10  # Every tenth event is dropped.
PAUSE_DELAY_S = 0.02  # The response is sent before the pause begins.
IDLE_WAIT_S = 1.0


def run(settings: dict[str, Any]) -> None:
    """Runs an engine until the process exits.

    Args:
        settings: Settings with `name`, `version` and `listen`, and optionally
            `seed`, `token_interval_ms`, `grace_s`, `slots`, `cache_blocks` and
            `ignores_fencing`.
    """
    cost = engine_lib.CostModel(
        token_interval_s=settings.get("token_interval_ms", 30) / 1000,
        grace_s=settings.get("grace_s", 10.0),
    )
    # The start time is part of the seed so that each start has a new boot id.
    seed = f"{settings.get('seed', 0)}-{settings['name']}-{time.time_ns()}"
    engine = engine_lib.Engine(
        name=settings["name"],
        version=settings["version"],
        cost=cost,
        slots=settings.get("slots", 64),
        cache_blocks=settings.get("cache_blocks", 4096),
        rng=random.Random(seed),
    )
    http = EngineHttp(engine, settings.get("ignores_fencing", False))
    threading.Thread(target=http.run_batch_loop, daemon=True).start()
    serving.serve(http.app, settings["listen"])


class EngineHttp:
    """HTTP routes of the engine and the loop that advances its batch.

    Args:
        engine: Engine that handles the requests.
        ignores_fencing: Whether orders with an outdated fencing token are
            applied.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        engine: engine_lib.Engine,
        ignores_fencing: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.app = serving.new_app()
        self._engine = engine
        self._ignores_fencing = ignores_fencing
        self._clock = clock
        self._work_available = threading.Event()
        self._load = (clock(), engine.load())
        self._cache_seqs: list[tuple[float, int]] = [(clock(), 0)]
        self._add_routes()

    def _add_routes(self) -> None:
        app = self.app
        app.post("/v1/completions", callback=self._complete)
        app.get("/generations", callback=self._list_generations)
        app.get("/generations/<generation_id>", callback=self._attach)
        app.get(
            "/generations/<generation_id>/progress", callback=self._get_progress
        )
        app.delete("/generations/<generation_id>", callback=self._cancel)
        app.get("/health", callback=self._health)
        app.get("/load", callback=self._lagged_load)
        app.get("/cache-events", callback=self._cache_events)
        app.post("/orders", callback=self._handle_order)
        app.get("/faults", callback=self._engine.faults.as_json)
        app.post("/faults", callback=self._set_faults)
        app.get("/stats", callback=self._stats)

    def run_batch_loop(self) -> None:
        """Steps the engine whenever work is due, until the process exits."""
        while True:
            self._engine.step(self._clock())
            self._sample_load()
            wait_s = self._engine.next_wake_s() - self._clock()
            if wait_s > 0:
                self._work_available.wait(min(wait_s, IDLE_WAIT_S))
            self._work_available.clear()

    def _sample_load(self) -> None:
        now_s = self._clock()
        if now_s - self._load[0] >= LOAD_REPORT_LAG_S:
            self._load = (now_s, self._engine.load())

    def _complete(self) -> generation_lib.GenerationStream:
        body = serving.json_object()
        try:
            request = completion_request.parse(body, self._engine.version)
        except serving.RequestError:
            self._engine.stats.refused += 1
            raise
        generation = self._engine.start(request, self._clock())
        self._work_available.set()
        first_index = len(request.resume_tokens)
        return self._stream(generation, request.attempt, first_index)

    def _attach(self, generation_id: str) -> generation_lib.GenerationStream:
        generation = self._engine.get_generation(generation_id)
        from_index = int(serving.query_number("from", 0))
        attempt = int(serving.query_number("attempt", 1))
        if not 0 <= from_index <= len(generation.tokens):
            raise serving.RequestError(
                422, f"the next index is {len(generation.tokens)}"
            )
        self._engine.stats.attaches += 1
        return self._stream(generation, attempt, from_index)

    def _stream(
        self,
        generation: generation_lib.Generation,
        attempt: int,
        from_index: int,
    ) -> generation_lib.GenerationStream:
        bottle.response.content_type = "text/event-stream"
        bottle.response.set_header("X-Boot-Id", self._engine.boot_id)
        return generation_lib.GenerationStream(
            generation,
            attempt,
            from_index,
            serving.connection(),
            self._engine.staller,
            self._clock,
        )

    def _list_generations(self) -> dict[str, Any]:
        rows = [
            {
                "generation_id": generation.generation_id,
                "attempt": generation.request.attempt,
                "next_index": len(generation.tokens),
                "finished": generation.finish_reason is not None,
                "read": generation.has_reader,
            }
            for generation in self._engine.generations_by_id.values()
        ]
        return {"generations": rows}

    def _get_progress(self, generation_id: str) -> dict[str, Any]:
        generation = self._engine.get_generation(generation_id)
        return {
            "next_index": len(generation.tokens),
            "finished": generation.finish_reason is not None,
        }

    def _cancel(self, generation_id: str) -> dict[str, Any]:
        attempt = int(serving.query_number("attempt", 0))
        if attempt < 1:
            raise serving.RequestError(422, "attempt is missing")
        return {"cancelled": self._engine.cancel(generation_id, attempt)}

    def _health(self) -> dict[str, Any]:
        engine = self._engine
        return {
            "boot_id": engine.boot_id,
            "version": engine.version,
            "state": engine.state,
        }

    def _lagged_load(self) -> dict[str, Any]:
        return self._load[1]

    def _cache_events(self) -> dict[str, Any]:
        after = int(serving.query_number("after", 0))
        visible = self._newest_visible_seq()
        events = [
            dataclasses.asdict(event)
            for event in self._engine.cache.events_after(after)
            if event.seq <= visible
            and event.seq % CACHE_EVENT_DROP_INTERVAL != 0
        ]
        return {"events": events}

    def _newest_visible_seq(self) -> int:
        now_s = self._clock()
        newest = self._engine.cache.events_after(0)[-1:]
        self._cache_seqs.append((now_s, newest[0].seq if newest else 0))
        limit_s = now_s - CACHE_EVENT_LAG_S
        old = [s for s in self._cache_seqs if s[0] <= limit_s]
        if len(old) > 1:
            del self._cache_seqs[: len(old) - 1]
        return self._cache_seqs[0][1] if old else 0

    def _handle_order(self) -> dict[str, Any]:
        body = serving.json_object()
        token = body.get("fencing_token")
        if not isinstance(token, int) or not faults.is_count(token):
            raise serving.RequestError(422, "fencing_token is not valid")
        if token < self._engine.fencing_token and not self._ignores_fencing:
            raise serving.RequestError(409, "the fencing token is outdated")
        self._apply_order(body)
        newest = max(self._engine.fencing_token, token)
        self._engine.fencing_token = newest
        return self._health()

    def _apply_order(self, body: dict[str, Any]) -> None:
        order = body.get("order")
        if order == "load_version" and faults.is_text(body.get("version")):
            if self._engine.running():
                raise serving.RequestError(409, "generations are running")
            self._engine.version = body["version"]
        elif order == "change_role" and body.get("role") in (
            "ready",
            "leaving",
        ):
            self._engine.state = body["role"]
        else:
            raise serving.RequestError(422, "the order is malformed")

    def _set_faults(self) -> dict[str, Any]:
        engine_faults = self._engine.faults
        engine_faults.update(serving.json_object())
        if engine_faults.get("silent_connections"):
            self._engine.staller.stall_open_connections()
            engine_faults.clear("silent_connections")
        pause_s = engine_faults.get("pause")
        if pause_s:
            engine_faults.clear("pause")
            gevent.spawn_later(PAUSE_DELAY_S, _pause_process, pause_s)
        return engine_faults.as_json()

    def _stats(self) -> dict[str, Any]:
        return dataclasses.asdict(self._engine.stats)


def _pause_process(duration_s: float) -> None:
    """Blocks the whole process, including new connections."""
    monkey.get_original("time", "sleep")(duration_s)
