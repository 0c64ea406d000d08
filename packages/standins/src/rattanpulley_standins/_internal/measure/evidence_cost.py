"""Size of an evidence batch, by the number of observations."""

import json
import zlib

from rattanpulley_core import moves
from rattanpulley_standins._internal.measure import samples

OBSERVATION_COUNTS = (4, 12, 36)
COMMAND = "make measure"


def measure() -> list[samples.Slope]:
    """Returns the slope of the compressed size of a batch."""
    return [
        samples.fit(
            "moves.batch_bytes",
            "observations",
            "bytes, compressed",
            COMMAND,
            [_batch_bytes(count) for count in OBSERVATION_COUNTS],
        )
    ]


def _batch_bytes(count: int) -> samples.Sample:
    signals = list(moves.Signal)
    observations = tuple(
        moves.Observation(
            signal=signals[index % len(signals)],
            route=f"route-{index // len(signals)}",
            share=0.01,
            counts=moves.Counts(index, 1, 90 + 3 * index, 2),
            bad_targets=(f"engine-{index:03}",),
        )
        for index in range(count)
    )
    batch = moves.EvidenceBatch(
        "entry-001", "0123456789abcdef", 7, "assistant", "move-1", observations
    )
    text = json.dumps(moves.batch_to_json(batch), separators=(",", ":"))
    return samples.Sample(count, float(len(zlib.compress(text.encode()))))
