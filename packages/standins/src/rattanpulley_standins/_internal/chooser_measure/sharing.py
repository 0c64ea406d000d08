"""Real processes: callers that share prompt prefixes, under each chooser."""

from collections.abc import Sequence
import dataclasses
import itertools
import os
import pathlib
import random
from typing import Any

import gevent
from gevent import pool

from rattanpulley_standins._internal.launch import deployment as deployment_lib
from rattanpulley_standins._internal.launch import plan
from rattanpulley_standins._internal.load import caller
from rattanpulley_standins._internal.load import record as record_lib

CHOICES = ("least_outstanding", "expected_cost")
ENGINES = 8
DAEMONS = 3
# Zipf-like: a few system prompts are common and most are rare.
GROUPS = 40
POPULARITY = 0.7
PREFIX_WORDS = 2000
ANSWER_TOKENS = 40
# Ten of the 40 prefixes, each of 125 blocks of 16 words, and the answers.
CACHE_BLOCKS = 1300
# Engines and daemons settle before their idle time is measured.
SETTLE_S = 3.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class SharedRequest(caller.AnswerRequest):
    """A request whose prompt starts with the prefix of its group.

    The engine stand-in finds the length anywhere in the prompt.
    """

    group: int = 0

    @property
    def prompt(self) -> str:
        """Prompt text: shared prefix, then the own question."""
        words = " ".join(f"g{self.group}w{n}" for n in range(PREFIX_WORDS))
        return f"{words} length={self.length} {self.key}"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Arrivals at random times, which do not wait for earlier answers."""

    seed: int
    requests_per_s: float
    duration_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of one chooser.

    Attributes:
        choice: Name of the chooser in the settings.
        records: What the callers saw.
        prompt_words: Words of all prompts.
        uncached_words: Words that the engines computed in their prefills.
        idle_share: Processor share of a daemon without requests, mean.
        loaded_share: The same under load.
    """

    choice: str
    records: Sequence[record_lib.AnswerRecord]
    prompt_words: int
    uncached_words: int
    idle_share: float
    loaded_share: float


def run(choice: str, load: Load) -> Run:
    """Runs one deployment under the load."""
    options = plan.Options(
        domains=("north",),
        engines_per_domain=ENGINES,
        daemons=DAEMONS,
        seed=load.seed,
        versions=("v1",),
        target_choice=choice,
        cache_blocks=CACHE_BLOCKS,
    )
    with deployment_lib.Deployment(options) as running:
        gevent.sleep(SETTLE_S)
        start_s = _cpu_s(running)
        gevent.sleep(load.idle_s)
        idle_s = _cpu_s(running)
        records = _arrive(running, load)
        loaded_s = _cpu_s(running)
        stats = [running.stats(engine.name) for engine in running.engines]
    return Run(
        choice,
        records,
        sum(len(record.prompt.split()) for record in records),
        sum(row["uncached_prefix_tokens"] for row in stats),
        (idle_s - start_s) / load.idle_s / DAEMONS,
        (loaded_s - idle_s) / load.duration_s / DAEMONS,
    )


def _arrive(
    running: deployment_lib.Deployment, load: Load
) -> list[record_lib.AnswerRecord]:
    """Starts all callers at their times and waits for their answers."""
    rng = random.Random(load.seed)
    urls = [daemon.url for daemon in running.daemons]
    records: list[record_lib.AnswerRecord] = []
    group = pool.Group()
    time_s = 0.0
    for number in itertools.count():
        time_s += rng.expovariate(load.requests_per_s)
        if time_s >= load.duration_s:
            break
        request = SharedRequest(
            key=f"share-{load.seed}-{number}",
            length=ANSWER_TOKENS,
            group=min(GROUPS, int(rng.paretovariate(POPULARITY))) - 1,
        )
        url = rng.choice(urls)
        group.add(gevent.spawn_later(time_s, _call, url, request, records))
    group.join(raise_error=True)
    return records


def _call(
    url: str,
    request: SharedRequest,
    records: list[record_lib.AnswerRecord],
) -> None:
    records.append(caller.DaemonCaller([url], request).run())


def _cpu_s(running: deployment_lib.Deployment) -> float:
    """Returns the processor time of all daemons so far."""
    ticks = 0
    for daemon in running.daemons:
        path = pathlib.Path(f"/proc/{running.pid(daemon.name)}/stat")
        # The name of the process may hold spaces; 12 fields lie before utime.
        fields = path.read_text("utf-8").rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / _TICKS_PER_S


def summarize(runs: Sequence[Run]) -> dict[str, Any]:
    """Returns the figures of all runs of one chooser."""
    records = [record for one in runs for record in one.records]
    prompt_words = sum(one.prompt_words for one in runs)
    uncached_words = sum(one.uncached_words for one in runs)
    first_s = [r.first_token_s for r in records if r.first_token_s is not None]
    return {
        "chooser": runs[0].choice,
        "requests": len(records),
        "whole": sum(record.is_complete for record in records),
        "refusals": sum(record.refusals for record in records),
        "first_token_ms": record_lib.distribution_ms(first_s),
        "cache_hit_rate": round(1.0 - uncached_words / prompt_words, 4),
        "runs": [_run_row(one) for one in runs],
    }


def _run_row(one: Run) -> dict[str, Any]:
    first_s = [
        r.first_token_s for r in one.records if r.first_token_s is not None
    ]
    return {
        "first_token_ms": record_lib.distribution_ms(first_s),
        "cache_hit_rate": round(1.0 - one.uncached_words / one.prompt_words, 4),
        "daemon_idle_core_share": round(one.idle_share, 5),
        "daemon_loaded_core_share": round(one.loaded_share, 5),
    }
