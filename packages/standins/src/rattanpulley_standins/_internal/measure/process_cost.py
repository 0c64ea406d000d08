"""Processor time and memory of idle daemon processes."""

import os
import pathlib
import statistics
import time

from rattanpulley_standins import launcher
from rattanpulley_standins._internal.measure import samples

DAEMON_COUNTS = (2, 8, 24)
SETTLE_S = 5.0
SAMPLE_S = 10.0
COMMAND = "make measure"
US_PER_S = 1e6
BYTES_PER_KB = 1024
# Indexes of the user and system time among the fields of /proc/PID/stat that
# follow the process name.
_USER_TICKS, _SYSTEM_TICKS = 11, 12


def measure() -> list[samples.Slope]:
    """Returns the slopes of an idle daemon's costs."""
    runs = [_idle_costs(count) for count in DAEMON_COUNTS]
    units = (
        ("daemon.idle_cpu_us_per_s", "us of processor time per s, median"),
        ("daemon.idle_memory_bytes", "bytes resident, median"),
    )
    return [
        samples.fit(name, "daemons", unit, COMMAND, [run[i] for run in runs])
        for i, (name, unit) in enumerate(units)
    ]


def _idle_costs(count: int) -> tuple[samples.Sample, samples.Sample]:
    options = launcher.Options(engines_per_domain=1, daemons=count)
    with launcher.Deployment(options) as running:
        pids = [running.pid(daemon.name) for daemon in running.daemons]
        time.sleep(SETTLE_S)
        before = [_cpu_s(pid) for pid in pids]
        time.sleep(SAMPLE_S)
        after = [_cpu_s(pid) for pid in pids]
        memory = [_resident_bytes(pid) for pid in pids]
    cpu_us = [
        (end_s - start_s) * US_PER_S / SAMPLE_S
        for start_s, end_s in zip(before, after, strict=True)
    ]
    return (
        samples.Sample(count, statistics.median(cpu_us)),
        samples.Sample(count, statistics.median(memory)),
    )


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1]) * BYTES_PER_KB
    raise ValueError(f"no VmRSS line in /proc/{pid}/status")
