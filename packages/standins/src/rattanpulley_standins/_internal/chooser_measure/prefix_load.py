"""Runs each chooser with real processes and callers that share prefixes."""

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

TARGET_CHOICES = ("least_outstanding", "expected_cost")
ENGINE_COUNT = 8
DAEMON_COUNT = 3
# Zipf-like popularity: a few system prompts are common and most are rare.
GROUP_COUNT = 40
POPULARITY_SHAPE = 0.7
PREFIX_WORDS = 2000
ANSWER_TOKENS = 40
# Room for ten of the 40 prefixes, each of 125 blocks of 16 words, and for the
# answers.
CACHE_BLOCKS = 1300
# Time that engines and daemons get to settle before the idle measurement.
SETTLE_S = 3.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class SharedPrefixRequest(caller.AnswerRequest):
    """A request whose prompt starts with the prefix of its group.

    The engine stand-in finds the length anywhere in the prompt.

    Attributes:
        group: Number of the group of requests with the same prefix.
    """

    group: int = 0

    @property
    def prompt(self) -> str:
        """Prompt text: the shared prefix, then the request's own words."""
        words = " ".join(f"g{self.group}w{n}" for n in range(PREFIX_WORDS))
        return f"{words} length={self.length} {self.key}"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """Open-loop load: requests arrive without waiting for earlier answers.

    Attributes:
        seed: Seed of the arrivals, groups and daemons.
        requests_per_s: Mean arrival rate.
        duration_s: Duration of the arrivals, in seconds.
        idle_s: Duration of the idle measurement before them, in seconds.
    """

    seed: int
    requests_per_s: float
    duration_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run with one chooser.

    Attributes:
        target_choice: Name of the chooser in the settings.
        records: Answers as the callers received them.
        prompt_words: Number of words in all prompts.
        uncached_words: Words that the engines computed in their prefills.
        idle_cpu_share: Mean share of a processor core that a daemon uses
            without requests.
        loaded_cpu_share: The same under load.
    """

    target_choice: str
    records: Sequence[record_lib.AnswerRecord]
    prompt_words: int
    uncached_words: int
    idle_cpu_share: float
    loaded_cpu_share: float


def run(target_choice: str, load: LoadOptions) -> RunResult:
    """Runs one deployment under the load."""
    options = plan.Options(
        domains=("north",),
        engines_per_domain=ENGINE_COUNT,
        daemons=DAEMON_COUNT,
        seed=load.seed,
        versions=("v1",),
        target_choice=target_choice,
        cache_blocks=CACHE_BLOCKS,
    )
    with deployment_lib.Deployment(options) as running:
        gevent.sleep(SETTLE_S)
        start_s = _cpu_s(running)
        gevent.sleep(load.idle_s)
        idle_s = _cpu_s(running)
        records = _run_callers(running, load)
        loaded_s = _cpu_s(running)
        stats = [running.stats(engine.name) for engine in running.engines]
    return RunResult(
        target_choice,
        records,
        sum(len(record.prompt.split()) for record in records),
        sum(row["uncached_prefix_tokens"] for row in stats),
        (idle_s - start_s) / load.idle_s / DAEMON_COUNT,
        (loaded_s - idle_s) / load.duration_s / DAEMON_COUNT,
    )


def _run_callers(
    running: deployment_lib.Deployment, load: LoadOptions
) -> list[record_lib.AnswerRecord]:
    """Starts the callers at random times and waits for their answers."""
    rng = random.Random(load.seed)
    urls = [daemon.url for daemon in running.daemons]
    records: list[record_lib.AnswerRecord] = []
    group = pool.Group()
    time_s = 0.0
    for number in itertools.count():
        time_s += rng.expovariate(load.requests_per_s)
        if time_s >= load.duration_s:
            break
        request = SharedPrefixRequest(
            key=f"share-{load.seed}-{number}",
            length=ANSWER_TOKENS,
            group=min(GROUP_COUNT, int(rng.paretovariate(POPULARITY_SHAPE)))
            - 1,
        )
        url = rng.choice(urls)
        group.add(
            gevent.spawn_later(time_s, _run_caller, url, request, records)
        )
    group.join(raise_error=True)
    return records


def _run_caller(
    url: str,
    request: SharedPrefixRequest,
    records: list[record_lib.AnswerRecord],
) -> None:
    records.append(caller.DaemonCaller([url], request).run())


def _cpu_s(running: deployment_lib.Deployment) -> float:
    """Returns the processor time of all daemons so far."""
    ticks = 0
    for daemon in running.daemons:
        path = pathlib.Path(f"/proc/{running.pid(daemon.name)}/stat")
        # The process name may contain spaces, so indexes start after it:
        # 11 and 12 are the user and system time.
        fields = path.read_text("utf-8").rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / _TICKS_PER_S


def summarize(runs: Sequence[RunResult]) -> dict[str, Any]:
    """Returns the results over all runs of one chooser."""
    records = [record for result in runs for record in result.records]
    prompt_words = sum(result.prompt_words for result in runs)
    uncached_words = sum(result.uncached_words for result in runs)
    first_s = [r.first_token_s for r in records if r.first_token_s is not None]
    return {
        "chooser": runs[0].target_choice,
        "requests": len(records),
        "whole": sum(record.is_complete for record in records),
        "refusals": sum(record.refusals for record in records),
        "first_token_ms": record_lib.distribution_ms(first_s),
        "cache_hit_rate": round(1.0 - uncached_words / prompt_words, 4),
        "runs": [_run_figures(result) for result in runs],
    }


def _run_figures(result: RunResult) -> dict[str, Any]:
    first_s = [
        r.first_token_s for r in result.records if r.first_token_s is not None
    ]
    return {
        "first_token_ms": record_lib.distribution_ms(first_s),
        "cache_hit_rate": round(
            1.0 - result.uncached_words / result.prompt_words, 4
        ),
        "daemon_idle_core_share": round(result.idle_cpu_share, 5),
        "daemon_loaded_core_share": round(result.loaded_cpu_share, 5),
    }
