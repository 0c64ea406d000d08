"""Load generator: runs many callers and prints statistics."""

import argparse
from collections.abc import Sequence
import dataclasses
import json
import random
import sys

import gevent
from gevent import pool

from rattanpulley_standins._internal.load import caller
from rattanpulley_standins._internal.load import record as record_lib


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """Options of a load run.

    Attributes:
        urls: Base URLs of the daemons.
        callers: Number of concurrent callers.
        answers_per_caller: Number of answers that each caller reads in
            sequence.
        length: Mean number of tokens of an answer; lengths vary by up to 25 %.
        stagger_s: Time over which the callers start, in seconds.
        seed: Seed of keys, lengths and start times.
    """

    urls: Sequence[str]
    callers: int = 24
    answers_per_caller: int = 1
    length: int = 200
    stagger_s: float = 1.0
    seed: int = 0


def run_load(options: LoadOptions) -> list[record_lib.AnswerRecord]:
    """Runs all callers to completion and returns their records."""
    records: list[record_lib.AnswerRecord] = []
    group = pool.Group()
    for number in range(options.callers):
        group.spawn(_run_caller, options, number, records)
    group.join(raise_error=True)
    return records


def _run_caller(
    options: LoadOptions,
    number: int,
    records: list[record_lib.AnswerRecord],
) -> None:
    rng = random.Random(f"{options.seed}-{number}")
    gevent.sleep(rng.uniform(0, options.stagger_s))
    first = number % len(options.urls)
    urls = [*options.urls[first:], *options.urls[:first]]
    for answer in range(options.answers_per_caller):
        request = caller.AnswerRequest(
            key=f"load-{options.seed}-{number}-{answer}",
            length=max(int(options.length * rng.uniform(0.75, 1.25)), 1),
        )
        records.append(caller.DaemonCaller(urls, request).run())


def main() -> None:
    """Runs the load generator from the command line."""
    parser = argparse.ArgumentParser(prog="rattanpulley_standins.load")
    parser.add_argument("urls", nargs="+", help="base URLs of daemons")
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--answers-per-caller", type=int, default=1)
    parser.add_argument("--length", type=int, default=200)
    parser.add_argument("--stagger-s", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=0)
    records = run_load(LoadOptions(**vars(parser.parse_args())))
    print(json.dumps(record_lib.summary(records), indent=2))
    if not all(record.is_complete for record in records):
        sys.exit(1)
