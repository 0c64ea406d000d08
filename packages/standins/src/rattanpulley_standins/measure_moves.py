"""Measures version moves: `python -m rattanpulley_standins.measure_moves`.

Every move has a seed of its own, so a run can be repeated. Besides the daemons'
own shares, two baselines run in the same command: a schedule of fixed steps
and a flip of all requests at once, both without evidence. A second variant has
daemons that do not exchange their evidence.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import time
from typing import Any

from matplotlib import pyplot

from rattanpulley_standins._internal.moves_drive import drive
from rattanpulley_standins._internal.moves_drive import kinds

HARM_GOAL = 0.01
# More moves of good versions, because a rate below 1 % takes 300 to show.
GOOD_SEEDS = 32
BAD_SEEDS = 8
VARIANT_SEEDS = 3
BASELINES = {"fixed_steps": kinds.fixed_steps, "flip": kinds.flip}
TRAFFICS = (kinds.HEAVY, kinds.LOW)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One move to run."""

    kind: kinds.Kind
    traffic: kinds.Traffic
    strategy: str
    seed: int


def jobs() -> list[Job]:
    """Returns all moves, the long ones first."""
    found: list[Job] = []
    for traffic in TRAFFICS:
        for kind in kinds.KINDS:
            seeds = BAD_SEEDS if kind.is_bad else GOOD_SEEDS
            found.extend(
                Job(kind, traffic, "evidence", seed) for seed in range(seeds)
            )
            variants = [*BASELINES]
            if traffic is kinds.LOW:
                variants.append("evidence_alone")
            found.extend(
                Job(kind, traffic, name, seed)
                for name in variants
                for seed in range(VARIANT_SEEDS)
            )
    return found


def run(job: Job) -> drive.Outcome:
    """Runs one move."""
    schedule = BASELINES.get(job.strategy)
    if schedule is not None:
        return drive.run_baseline(
            job.kind, job.traffic, job.seed, job.strategy, schedule
        )
    exchange = job.strategy == "evidence"
    return drive.run_move(job.kind, job.traffic, job.seed, exchange)


def summarize(outcomes: list[drive.Outcome]) -> list[dict[str, Any]]:
    """Returns one row per strategy, traffic and kind."""
    groups: dict[tuple[str, str, str], list[drive.Outcome]] = {}
    for outcome in outcomes:
        key = (outcome.strategy, outcome.traffic, outcome.kind)
        groups.setdefault(key, []).append(outcome)
    return [_row(key, group) for key, group in groups.items()]


def _row(
    key: tuple[str, str, str], group: list[drive.Outcome]
) -> dict[str, Any]:
    harmed = [outcome.harmed / outcome.requests for outcome in group]
    parts = [o.verdict_part for o in group if o.verdict_part is not None]
    return {
        "strategy": key[0],
        "traffic": key[1],
        "kind": key[2],
        "is_bad": group[0].is_bad,
        "moves": len(group),
        "done_in_time": sum(outcome.is_done for outcome in group),
        "taken_back": sum(outcome.is_taken_back for outcome in group),
        "harmed_mean": round(statistics.fmean(harmed), 6),
        "harmed_max": round(max(harmed), 6),
        "above_goal": sum(share >= HARM_GOAL for share in harmed),
        "verdict_part_median": statistics.median(parts) if parts else None,
    }


def totals(outcomes: list[drive.Outcome]) -> list[dict[str, Any]]:
    """Returns the goals by strategy and traffic."""
    found = []
    keys = dict.fromkeys((o.strategy, o.traffic) for o in outcomes)
    for strategy, traffic in keys:
        group = [
            o
            for o in outcomes
            if (o.strategy, o.traffic) == (strategy, traffic)
        ]
        good = [o for o in group if not o.is_bad]
        bad = [o for o in group if o.is_bad]
        found.append(
            {
                "strategy": strategy,
                "traffic": traffic,
                "good_moves": len(good),
                "good_done_in_time": sum(o.is_done for o in good),
                "false_take_backs": sum(o.is_taken_back for o in good),
                "bad_moves": len(bad),
                "bad_taken_back": sum(o.is_taken_back for o in bad),
                "bad_harmed_mean": round(
                    statistics.fmean(o.harmed / o.requests for o in bad), 6
                ),
                "bad_above_goal": sum(
                    o.harmed / o.requests >= HARM_GOAL for o in bad
                ),
            }
        )
    return found


def plot(outcomes: list[drive.Outcome], path: pathlib.Path) -> None:
    """Writes the harmed requests by kind and the shares over time."""
    figure, axes = pyplot.subplots(1, 2, figsize=(13, 6))
    _plot_harm(axes[0], outcomes)
    _plot_shares(axes[1], outcomes)
    figure.tight_layout()
    pyplot.rcParams["svg.hashsalt"] = "moves"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _plot_harm(axis: Any, outcomes: list[drive.Outcome]) -> None:
    names = [kind.name for kind in kinds.KINDS if kind.is_bad]
    series = {
        "evidence, heavy": ("evidence", "heavy", "o"),
        "evidence, low": ("evidence", "low", "s"),
        "fixed steps": ("fixed_steps", "heavy", "x"),
        "flip": ("flip", "heavy", "+"),
    }
    for label, (strategy, traffic, marker) in series.items():
        points = [
            (100 * o.harmed / o.requests, names.index(o.kind))
            for o in outcomes
            if o.is_bad and (o.strategy, o.traffic) == (strategy, traffic)
        ]
        axis.scatter(
            [max(x, 0.001) for x, _ in points],
            [y for _, y in points],
            marker=marker,
            label=label,
            alpha=0.6,
        )
    axis.axvline(100 * HARM_GOAL, color="black", linewidth=0.8)
    axis.set_xscale("log")
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("harmed requests of the window, percent")
    axis.legend()


def _plot_shares(axis: Any, outcomes: list[drive.Outcome]) -> None:
    shown = {
        ("good", "heavy"): "good, heavy",
        ("good", "low"): "good, low",
        ("errors_later", "heavy"): "errors later, heavy",
        ("slow_first_token", "low"): "slow first token, low",
    }
    for outcome in outcomes:
        label = shown.get((outcome.kind, outcome.traffic))
        if label and outcome.strategy == "evidence" and outcome.seed == 0:
            parts = [2 * index for index in range(len(outcome.shares))]
            axis.plot(parts, [100 * s for s in outcome.shares], label=label)
    axis.set_yscale("symlog", linthresh=0.5)
    axis.set_xlabel("part of the window, percent")
    axis.set_ylabel("share of the new version, percent")
    axis.legend()


def main() -> None:
    """Runs all moves and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument(
        "--output", type=pathlib.Path, default="docs/measurements"
    )
    arguments = parser.parse_args()
    started_s = time.monotonic()
    work = jobs()
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        outcomes = list(pool.map(run, work, chunksize=2))
    result = {
        "command": "python -m rattanpulley_standins.measure_moves",
        "run_s": round(time.monotonic() - started_s),
        "daemons": drive.DAEMONS,
        "traffic": [dataclasses.asdict(traffic) for traffic in TRAFFICS],
        "totals": totals(outcomes),
        "kinds": summarize(outcomes),
    }
    arguments.output.mkdir(parents=True, exist_ok=True)
    path = arguments.output / "moves.json"
    path.write_text(json.dumps(result, indent=1) + "\n")
    plot(outcomes, arguments.output / "moves.svg")
    print(json.dumps(result["totals"], indent=1))


if __name__ == "__main__":
    main()
