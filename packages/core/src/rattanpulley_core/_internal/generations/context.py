"""State shared by the modules of the generation subject."""

import dataclasses
import random

from rattanpulley_core._internal.budgets import buckets
from rattanpulley_core._internal.generations import messages
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.resume_token import signer as token_signer
from rattanpulley_core._internal.suspects import attribution
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import rows as target_rows
from rattanpulley_core._internal.targets import table as target_table

# Streams moved off leaving targets. Each costs a prefill on another target.
MOVES_PER_S = 10.0
MOVES_BURST = 4.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts since the start."""

    requests: int = 0
    reconnects: int = 0
    tokens: int = 0
    attempts: int = 0
    attaches: int = 0
    resumes: int = 0
    retries: int = 0
    moves: int = 0
    finished: int = 0
    failed: int = 0
    refused: int = 0
    stale_events: int = 0
    unexpected_events: int = 0
    duplicate_tokens: int = 0
    gaps: int = 0
    version_mismatches: int = 0
    corrupt_attempts: int = 0
    stalls: int = 0
    probes: int = 0
    probe_failures: int = 0
    targets_lost: int = 0
    target_restarts: int = 0
    crashes: int = 0
    chains_verified: int = 0
    chains_rejected: int = 0
    expired: int = 0


@dataclasses.dataclass(slots=True)
class ProbeRun:
    """A probe that was sent and not answered.

    Attributes:
        probe_id: Number of the probe.
        target: Row of the target.
        sent_at_s: Monotonic time.
        next_index_by_attempt: Journal length of the stalled streams at the time
            of the probe, by generation id and attempt number.
        repeat: Whether an answer may date from before a reset, so that the
            target has to be probed again.
    """

    probe_id: int
    target: target_rows.Target
    sent_at_s: float
    next_index_by_attempt: dict[tuple[str, int], int]
    repeat: bool = False


class Context:
    """Tables, budgets and counters, and the actions of the current call."""

    def __init__(
        self,
        *,
        target_table: target_table.TargetTable,
        chooser: choosers.TargetChooser,
        signer: token_signer.Signer,
        suspect_table: reports.SuspectTable,
        rng: random.Random,
    ) -> None:
        self.targets = target_table
        self.chooser = chooser
        self.signer = signer
        self.suspects = suspect_table
        self.rng = rng
        self.ledger = attribution.CrashAttributor(suspect_table)
        self.generations_by_id: dict[str, rows.Generation] = {}
        # Waiting generations in order of arrival in the queue.
        self.queued_by_id: dict[str, rows.Generation] = {}
        # Pools and versions without a free target at the last placement.
        self.full_groups: set[tuple[str, str | None]] = set()
        self.running_by_target: dict[str, dict[str, rows.Generation]] = {}
        self.probes_by_target: dict[str, ProbeRun] = {}
        self.next_lost_probe_s: dict[str, float] = {}
        # Attempts left on lost targets, to be cancelled if the target turns out
        # to have been paused.
        self.left_attempts_by_target: dict[
            str, list[messages.CancelAttempt]
        ] = {}
        # Outcomes of reset attempts, until a probe tells whether the target
        # crashed, by target.
        self.reset_outcomes_by_target: dict[
            str, list[messages.AttemptEnded]
        ] = {}
        self.last_probe_id = 0
        self.retry_budget = buckets.RetryBudget()
        self.move_bucket = buckets.TokenBucket(MOVES_PER_S, MOVES_BURST)
        self.counters = Counters()
        self.actions: list[messages.Action] = []
        self.draining = False

    def take_actions(self) -> list[messages.Action]:
        """Returns the actions collected since the last call."""
        taken = self.actions
        self.actions = []
        return taken
