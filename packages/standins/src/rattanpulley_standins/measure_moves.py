"""Measures version moves: `python -m rattanpulley_standins.measure_moves`.

Every move is simulated with its own seed, so a run can be repeated. Besides the
strategy in which the daemons set their shares from evidence, the command runs
two baselines that ignore evidence: a schedule of fixed steps, and a flip of all
requests at once. In a further variant the daemons do not exchange their
evidence.
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

from rattanpulley_standins._internal.move_simulation import scenarios
from rattanpulley_standins._internal.move_simulation import simulation

MAX_HARMED_FRACTION = 0.01
# A rate of false rollbacks below 1 % shows only in 300 moves or more, so there
# are more moves of good versions.
GOOD_VERSION_SEEDS = 32
BAD_VERSION_SEEDS = 8
VARIANT_SEEDS = 3
BASELINES = {"fixed_steps": scenarios.fixed_steps, "flip": scenarios.flip}
TRAFFIC_PROFILES = (scenarios.HEAVY, scenarios.LOW)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One move to simulate."""

    scenario: scenarios.Scenario
    traffic: scenarios.TrafficProfile
    strategy: str
    seed: int


def make_jobs() -> list[Job]:
    """Returns all moves to simulate, the longest-running ones first."""
    found: list[Job] = []
    for traffic in TRAFFIC_PROFILES:
        for scenario in scenarios.SCENARIOS:
            seeds = BAD_VERSION_SEEDS if scenario.is_bad else GOOD_VERSION_SEEDS
            found.extend(
                Job(scenario, traffic, "evidence", seed)
                for seed in range(seeds)
            )
            variants = [*BASELINES]
            if traffic is scenarios.LOW:
                variants.append("evidence_alone")
            found.extend(
                Job(scenario, traffic, name, seed)
                for name in variants
                for seed in range(VARIANT_SEEDS)
            )
    return found


def run_job(job: Job) -> simulation.MoveResult:
    """Simulates one move."""
    schedule = BASELINES.get(job.strategy)
    if schedule is not None:
        return simulation.run_baseline(
            job.scenario, job.traffic, job.seed, job.strategy, schedule
        )
    exchanges_evidence = job.strategy == "evidence"
    return simulation.run_move(
        job.scenario, job.traffic, job.seed, exchanges_evidence
    )


def summarize(results: list[simulation.MoveResult]) -> list[dict[str, Any]]:
    """Returns one row for each strategy, traffic profile and scenario."""
    groups: dict[tuple[str, str, str], list[simulation.MoveResult]] = {}
    for result in results:
        key = (result.strategy, result.traffic, result.scenario)
        groups.setdefault(key, []).append(result)
    return [_row(key, group) for key, group in groups.items()]


def _row(
    key: tuple[str, str, str], group: list[simulation.MoveResult]
) -> dict[str, Any]:
    harmed = [result.harmed / result.requests for result in group]
    fractions = [
        o.verdict_fraction for o in group if o.verdict_fraction is not None
    ]
    return {
        "strategy": key[0],
        "traffic": key[1],
        "kind": key[2],
        "is_bad": group[0].is_bad,
        "moves": len(group),
        "done_in_time": sum(result.is_done for result in group),
        "taken_back": sum(result.is_rolled_back for result in group),
        "harmed_mean": round(statistics.fmean(harmed), 6),
        "harmed_max": round(max(harmed), 6),
        "above_goal": sum(share >= MAX_HARMED_FRACTION for share in harmed),
        "verdict_part_median": statistics.median(fractions)
        if fractions
        else None,
    }


def totals(results: list[simulation.MoveResult]) -> list[dict[str, Any]]:
    """Returns the success rates by strategy and traffic profile."""
    found = []
    keys = dict.fromkeys((o.strategy, o.traffic) for o in results)
    for strategy, traffic in keys:
        group = [
            o for o in results if (o.strategy, o.traffic) == (strategy, traffic)
        ]
        good = [o for o in group if not o.is_bad]
        bad = [o for o in group if o.is_bad]
        found.append(
            {
                "strategy": strategy,
                "traffic": traffic,
                "good_moves": len(good),
                "good_done_in_time": sum(o.is_done for o in good),
                "false_take_backs": sum(o.is_rolled_back for o in good),
                "bad_moves": len(bad),
                "bad_taken_back": sum(o.is_rolled_back for o in bad),
                "bad_harmed_mean": round(
                    statistics.fmean(o.harmed / o.requests for o in bad), 6
                ),
                "bad_above_goal": sum(
                    o.harmed / o.requests >= MAX_HARMED_FRACTION for o in bad
                ),
            }
        )
    return found


def plot(results: list[simulation.MoveResult], path: pathlib.Path) -> None:
    """Plots the harmed requests by scenario and the shares over time."""
    figure, axes = pyplot.subplots(1, 2, figsize=(13, 6))
    _plot_harm(axes[0], results)
    _plot_shares(axes[1], results)
    figure.tight_layout()
    pyplot.rcParams["svg.hashsalt"] = "moves"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _plot_harm(axis: Any, results: list[simulation.MoveResult]) -> None:
    names = [
        scenario.name for scenario in scenarios.SCENARIOS if scenario.is_bad
    ]
    series = {
        "evidence, heavy": ("evidence", "heavy", "o"),
        "evidence, low": ("evidence", "low", "s"),
        "fixed steps": ("fixed_steps", "heavy", "x"),
        "flip": ("flip", "heavy", "+"),
    }
    for label, (strategy, traffic, marker) in series.items():
        points = [
            (100 * o.harmed / o.requests, names.index(o.scenario))
            for o in results
            if o.is_bad and (o.strategy, o.traffic) == (strategy, traffic)
        ]
        axis.scatter(
            [max(x, 0.001) for x, _ in points],
            [y for _, y in points],
            marker=marker,
            label=label,
            alpha=0.6,
        )
    axis.axvline(100 * MAX_HARMED_FRACTION, color="black", linewidth=0.8)
    axis.set_xscale("log")
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("harmed requests of the window, percent")
    axis.legend()


def _plot_shares(axis: Any, results: list[simulation.MoveResult]) -> None:
    shown = {
        ("good", "heavy"): "good, heavy",
        ("good", "low"): "good, low",
        ("errors_later", "heavy"): "errors later, heavy",
        ("slow_first_token", "low"): "slow first token, low",
    }
    for result in results:
        label = shown.get((result.scenario, result.traffic))
        if label and result.strategy == "evidence" and result.seed == 0:
            fractions = [2 * index for index in range(len(result.shares))]
            axis.plot(fractions, [100 * s for s in result.shares], label=label)
    axis.set_yscale("symlog", linthresh=0.5)
    axis.set_xlabel("part of the window, percent")
    axis.set_ylabel("share of the new version, percent")
    axis.legend()


def main() -> None:
    """Simulates all moves and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument(
        "--output", type=pathlib.Path, default="docs/measurements"
    )
    arguments = parser.parse_args()
    started_s = time.monotonic()
    work = make_jobs()
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        results = list(pool.map(run_job, work, chunksize=2))
    result = {
        "command": "python -m rattanpulley_standins.measure_moves",
        "run_s": round(time.monotonic() - started_s),
        "daemons": simulation.DAEMON_COUNT,
        "traffic": [
            dataclasses.asdict(traffic) for traffic in TRAFFIC_PROFILES
        ],
        "totals": totals(results),
        "kinds": summarize(results),
    }
    arguments.output.mkdir(parents=True, exist_ok=True)
    path = arguments.output / "moves.json"
    path.write_text(json.dumps(result, indent=1) + "\n")
    plot(results, arguments.output / "moves.svg")
    print(json.dumps(result["totals"], indent=1))


if __name__ == "__main__":
    main()
