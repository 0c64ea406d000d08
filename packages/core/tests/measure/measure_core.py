"""Measures CPU time and memory of the generation core.

Run from the repository root:

    PYTHONPATH=packages/core/src .venv/bin/python \
        packages/core/tests/measure/measure_core.py

Prints one line of JSON per measurement.
"""

import json
import random
import statistics
import time
import tracemalloc

from rattanpulley_core import generations
from rattanpulley_core import resume_token
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulley_core import targets

TARGETS = 600
ROUNDS = 15


def new_core(target_count=TARGETS):
    """Returns a core with `target_count` targets."""
    specs = {
        f"e{i}": tables.TargetSpec(
            f"e{i}", f"http://10.0.0.1:{i}", f"z{i % 11}", "v1"
        )
        for i in range(target_count)
    }
    versions = {"v1": tables.VersionSpec("v1")}
    kind = tables.TargetKind.ENGINE
    pool = tables.Pool("pool", kind, versions, specs)
    rng = random.Random(1)
    table = targets.TargetTable("z0")
    table.apply_pools(tables.PoolTable(1, {"pool": pool}), 0.0)
    return generations.GenerationCore(
        target_table=table,
        chooser=targets.LeastOutstandingChooser(table, rng),
        signer=resume_token.Signer([b"0123456789abcdef"]),
        suspect_table=suspects.SuspectTable(),
        rng=rng,
    )


def start_generation(core, number, now_s):
    """Starts a generation that its target accepts; returns its id."""
    name = f"{number:032x}"
    request = generations.GenerationRequest(
        name,
        "account",
        "route",
        "pool",
        "model",
        f"{number:064x}",
        "prompt",
        generations.Sampling(65_536, 1, 1.0),
        0,
        1e6,
    )
    core.handle(generations.CallerConnected(number, request), now_s)
    core.handle(generations.AttemptAccepted(name, 1, "boot"), now_s)
    return name


def token(name, index):
    return generations.TokensReceived(name, 1, index, (f" word{index}",), "v1")


def measure_tokens():
    """Measures the CPU time of an event with one token for one caller."""
    core = new_core()
    name = start_generation(core, 1, 1.0)
    count = 4_000
    per_round_us = []
    for number in range(ROUNDS):
        events = [token(name, number * count + i) for i in range(count)]
        started_s = time.process_time()
        for event in events:
            core.handle(event, 1.0 + event.first_index * 0.03)
        elapsed_s = time.process_time() - started_s
        per_round_us.append(elapsed_s / count * 1e6)
    return {
        "measurement": "handle(TokensReceived), one token per event",
        "us_per_token_median": round(statistics.median(per_round_us), 2),
        "us_per_token_min": round(min(per_round_us), 2),
    }


def measure_event_ids():
    """Measures the CPU time to encode one event id."""
    signer = resume_token.Signer([b"0123456789abcdef"])
    binding = signer.binding("0" * 32, "account", "print", "v1")
    encoder = signer.encoder(binding, "0" * 32, 1, "e1", "v1")
    chain = signer.start_chain(binding)
    count = 20_000
    started_s = time.process_time()
    for index in range(count):
        encoder.encode(index, chain)
    elapsed_s = time.process_time() - started_s
    return {
        "measurement": "EventIdEncoder.encode",
        "us_per_token": round(elapsed_s / count * 1e6, 2),
    }


def measure_ticks(streams):
    """Measures the CPU time of a tick while all streams receive tokens."""
    core = new_core()
    names = [start_generation(core, number, 1.0) for number in range(streams)]
    now_s = 1.0
    per_tick_ms = []
    for index in range(ROUNDS):
        now_s += 0.05
        for name in names:
            core.handle(token(name, index), now_s)
        started_s = time.process_time()
        core.tick(now_s)
        per_tick_ms.append((time.process_time() - started_s) * 1e3)
    return {
        "measurement": "tick",
        "streams": streams,
        "targets": TARGETS,
        "ms_per_tick_median": round(statistics.median(per_tick_ms), 3),
        "ms_per_tick_max": round(max(per_tick_ms), 3),
    }


def measure_memory(streams, tokens):
    """Measures the memory of a stream, with and without its journal."""
    core = new_core()
    tracemalloc.start()
    names = [start_generation(core, number, 1.0) for number in range(streams)]
    fixed = tracemalloc.get_traced_memory()[0]
    for index in range(tokens):
        for name in names:
            core.handle(token(name, index), 1.0)
    total = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "measurement": "memory",
        "streams": streams,
        "bytes_per_stream": round(fixed / streams),
        "journal_bytes_per_token": round((total - fixed) / streams / tokens, 1),
        "token_bytes": sum(len(f" word{i}") for i in range(tokens)) / tokens,
    }


def measure_mass_failure(streams, target_count):
    """Measures the CPU time to resume after a loss of a quarter of targets."""
    core = new_core(target_count)
    names = [start_generation(core, number, 1.0) for number in range(streams)]
    for name in names:
        core.handle(token(name, 0), 1.0)
    lost = {f"e{i}" for i in range(0, target_count, 4)}
    events = [
        generations.AttemptFailed(
            generation.generation_id, 1, generations.FailureReason.RESET
        )
        for target, running in core._ctx.running_by_target.items()
        if target in lost
        for generation in running.values()
    ]
    streams_lost = len(events)
    started_s = time.process_time()
    now_s = 2.0
    while events:
        now_s += 1e-5
        for action in core.handle(events.pop(0), now_s):
            events.extend(answers(action))
    handled_s = time.process_time() - started_s
    return {
        "measurement": "loss of a quarter of the targets",
        "streams": streams,
        "targets": target_count,
        "streams_lost": streams_lost,
        "resumed": core.status(now_s).counters_by_name["resumes"],
        "ms_in_total": round(handled_s * 1e3, 1),
    }


def answers(action):
    """Returns the events with which targets respond to an action.

    Probes fail because their targets are lost; resumed attempts are accepted
    and produce a token.
    """
    if isinstance(action, generations.ProbeTarget):
        return [generations.ProbeFailed(action.target, action.probe_id, True)]
    if not isinstance(action, generations.StartAttempt):
        return []
    key = (action.generation_id, action.attempt)
    index = len(action.resume_tokens)
    return [
        generations.AttemptAccepted(*key, "boot"),
        generations.TokensReceived(*key, index, ("x",), "v1"),
    ]


def main():
    """Prints all measurements as JSON lines."""
    print(json.dumps(measure_tokens()))
    print(json.dumps(measure_event_ids()))
    for streams in (100, 1_000, 5_000):
        print(json.dumps(measure_ticks(streams)))
    for streams in (80, 1_000, 5_000):
        for target_count in (24, TARGETS):
            print(json.dumps(measure_mass_failure(streams, target_count)))
    print(json.dumps(measure_memory(1_000, 500)))


if __name__ == "__main__":
    main()
