"""Processor time of one target choice at the design size."""

import random
import time
from typing import Any

from rattanpulley_core import tables
from rattanpulley_core import targets

TARGET_COUNT = 600
DOMAIN_COUNT = 11
CHOICE_COUNT = 2000
REQUESTS_PER_S = 7.6
PROMPT_CHARS = 8000


def measure(chooser_class: Any, seed: int) -> dict[str, Any]:
    """Returns the time of a choice, the hashing of the prompt included."""
    table = _make_table()
    rng = random.Random(seed)
    chooser = chooser_class(table, rng)
    prompts = [f"{n} " * (PROMPT_CHARS // 4) for n in range(100, 200)]
    start_s = time.process_time()
    for number in range(CHOICE_COUNT):
        prompt = prompts[number % len(prompts)]
        query = targets.TargetQuery(
            "pool",
            prefix_block_hashes=targets.prefix_block_hashes("model", prompt),
            prompt_tokens=PROMPT_CHARS // 4,
        )
        chooser.choose(query, float(number))
    choice_us = (time.process_time() - start_s) / CHOICE_COUNT * 1e6
    return {
        "chooser": chooser_class.__name__,
        "targets": TARGET_COUNT,
        "choice_us": round(choice_us, 1),
        "us_per_s_at_design_size": round(choice_us * REQUESTS_PER_S),
    }


def _make_table() -> targets.TargetTable:
    specs = {
        f"e{n}": tables.TargetSpec(f"e{n}", "", f"z{n % DOMAIN_COUNT}", "v1")
        for n in range(TARGET_COUNT)
    }
    versions = {"v1": tables.VersionSpec("v1")}
    pool = tables.Pool("pool", tables.TargetKind.ENGINE, versions, specs)
    table = targets.TargetTable("z0")
    table.apply_pools(tables.PoolTable(1, {"pool": pool}), 0.0)
    return table
