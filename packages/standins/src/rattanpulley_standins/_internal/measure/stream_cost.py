"""Cost of streams in the generation part, by the number of open streams."""

import random
import time
import tracemalloc

from rattanpulley_core import generations
from rattanpulley_core import resume_token
from rattanpulley_core import suspects
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulley_standins._internal.measure import samples

STREAM_COUNTS = (100, 300, 1_000)
TARGET_COUNTS = (100, 300, 600)
TOKENS_PER_STREAM = 200
TICKS = 200
CHOICES = 500
TICK_S = 0.05
TOKEN_INTERVAL_S = 0.03
COMMAND = "make measure"
US_PER_S = 1e6
SEED = 1


def measure() -> list[samples.Slope]:
    """Returns the slopes of the generation and target parts."""
    runs = [_run_streams(count) for count in STREAM_COUNTS]
    return [
        samples.fit(
            "streams.token_us",
            "open streams",
            "us for one token",
            COMMAND,
            [row[0] for row in runs],
        ),
        samples.fit(
            "streams.tick_us",
            "open streams",
            "us for one tick",
            COMMAND,
            [row[1] for row in runs],
        ),
        samples.fit(
            "streams.memory_bytes",
            "open streams",
            f"bytes with {TOKENS_PER_STREAM} tokens each",
            COMMAND,
            [row[2] for row in runs],
        ),
        samples.fit(
            "targets.choice_us",
            "targets",
            "us for one choice",
            COMMAND,
            [_choice(count) for count in TARGET_COUNTS],
        ),
    ]


def _pool_table(target_count: int) -> tables.PoolTable:
    specs = {
        f"engine-{index}": tables.TargetSpec(
            f"engine-{index}", f"http://127.0.0.1:{index + 1}", "north", "v1"
        )
        for index in range(target_count)
    }
    versions = {"v1": tables.VersionSpec("v1")}
    pool = tables.Pool("assistant", tables.TargetKind.ENGINE, versions, specs)
    return tables.PoolTable(1, {"assistant": pool})


def _make_core(
    target_count: int,
) -> tuple[generations.GenerationCore, targets.LeastOutstandingChooser]:
    rng = random.Random(SEED)
    target_table = targets.TargetTable("north")
    target_table.apply_pools(_pool_table(target_count), 0.0)
    chooser = targets.LeastOutstandingChooser(target_table, rng)
    core = generations.GenerationCore(
        target_table=target_table,
        chooser=chooser,
        signer=resume_token.Signer([b"k" * 16]),
        suspect_table=suspects.SuspectTable(),
        rng=rng,
    )
    return core, chooser


def _request(index: int) -> generations.GenerationRequest:
    return generations.GenerationRequest(
        generation_id=f"{index:032x}",
        account="account",
        route="assistant",
        pool="assistant",
        model="assistant",
        fingerprint=f"{index:064x}",
        prompt="prompt",
        sampling=generations.Sampling(4_096, 1, 0.7),
        priority=0,
        deadline_s=1e6,
    )


def _run_streams(
    count: int,
) -> tuple[samples.Sample, samples.Sample, samples.Sample]:
    """Returns the time of a token and of a tick, and the memory."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    core, _ = _make_core(target_count=20)
    starts = _start_streams(core, count)
    _feed(core, starts, 0, TOKENS_PER_STREAM)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    start_s = time.process_time()
    _feed(core, starts, TOKENS_PER_STREAM, TOKENS_PER_STREAM)
    token_s = time.process_time() - start_s
    now_s = 2 * TOKENS_PER_STREAM * TOKEN_INTERVAL_S
    start_s = time.process_time()
    for tick in range(TICKS):
        core.tick(now_s + tick * TICK_S / TICKS)
    tick_s = time.process_time() - start_s
    token_us = token_s * US_PER_S / (count * TOKENS_PER_STREAM)
    return (
        samples.Sample(count, token_us),
        samples.Sample(count, tick_s * US_PER_S / TICKS),
        samples.Sample(count, float(after - before)),
    )


def _start_streams(
    core: generations.GenerationCore, count: int
) -> list[generations.StartAttempt]:
    starts: list[generations.StartAttempt] = []
    for index in range(count):
        event = generations.CallerConnected(index, _request(index))
        for action in core.handle(event, 0.0):
            if isinstance(action, generations.StartAttempt):
                starts.append(action)
    return starts


def _feed(
    core: generations.GenerationCore,
    starts: list[generations.StartAttempt],
    first_index: int,
    token_count: int,
) -> None:
    for index in range(first_index, first_index + token_count):
        now_s = (index + 1) * TOKEN_INTERVAL_S
        for start in starts:
            event = generations.TokensReceived(
                start.generation_id,
                start.attempt,
                index,
                ("token ",),
                start.version,
            )
            core.handle(event, now_s)


def _choice(count: int) -> samples.Sample:
    _, chooser = _make_core(count)
    query = targets.TargetQuery("assistant")
    start_s = time.process_time()
    for _ in range(CHOICES):
        chooser.choose(query, 0.0)
    choice_s = time.process_time() - start_s
    return samples.Sample(count, choice_s * US_PER_S / CHOICES)
