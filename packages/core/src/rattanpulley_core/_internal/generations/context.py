"""State shared by the modules of this package."""

import dataclasses
import random

from rattanpulley_core._internal.budgets import buckets
from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import rows
from rattanpulley_core._internal.resume_token import signer as token_signer
from rattanpulley_core._internal.suspects import attribution
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import rows as target_rows
from rattanpulley_core._internal.targets import table as target_table

# Rate limit for migrating streams off leaving targets. Each migration costs a
# prefill on another target.
MIGRATIONS_PER_S = 10.0
MIGRATIONS_BURST = 4.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Event counts since the daemon started, exported under these names."""

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
class PendingProbe:
    """A probe that was sent and whose result is outstanding.

    Attributes:
        probe_id: Number of the probe.
        target: The probed target.
        sent_at_s: Monotonic time at which the probe was sent.
        next_index_by_attempt: Journal length of the stalled streams at the time
            of the probe, by generation id and attempt number.
        needs_repeat: Whether a connection to the target failed after the probe
            was sent. The result may predate the failure, so the target is
            probed again.
    """

    probe_id: int
    target: target_rows.Target
    sent_at_s: float
    next_index_by_attempt: dict[tuple[str, int], int]
    needs_repeat: bool = False


class Context:
    """Tables, budgets, counters and the actions of the current call."""

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
        self.crash_attributor = attribution.CrashAttributor(suspect_table)
        self.generations_by_id: dict[str, rows.Generation] = {}
        # Generations that wait for a target, in the order they were queued.
        self.queued_by_id: dict[str, rows.Generation] = {}
        # Pairs of pool and version that had no free target at the last
        # placement.
        self.full_groups: set[tuple[str, str | None]] = set()
        self.running_by_target: dict[str, dict[str, rows.Generation]] = {}
        self.pending_probes_by_target: dict[str, PendingProbe] = {}
        self.next_lost_probe_s: dict[str, float] = {}
        # Attempts on lost targets. They are cancelled if the target turns out
        # to have been paused rather than dead.
        self.abandoned_attempts_by_target: dict[
            str, list[actions.CancelAttempt]
        ] = {}
        # Outcomes of attempts whose connection was reset, by target, until a
        # probe shows whether the target crashed.
        self.pending_reset_outcomes_by_target: dict[
            str, list[actions.AttemptOutcome]
        ] = {}
        self.last_probe_id = 0
        self.retry_budget = buckets.RetryBudget()
        self.migration_bucket = buckets.TokenBucket(
            MIGRATIONS_PER_S, MIGRATIONS_BURST
        )
        self.counters = Counters()
        self.actions: list[actions.Action] = []
        self.draining = False

    def pop_actions(self) -> list[actions.Action]:
        """Returns and clears the actions collected since the last call."""
        collected = self.actions
        self.actions = []
        return collected
