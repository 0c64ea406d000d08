"""State machine of the tables in force, and its mutation."""

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from rattanpulley_core import tables
from rattanpulley_core._internal.tables import config_state

SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=20
)


def value_of(content):
    if content == 0:
        return {"schema": 1}
    deadline = {"deadline_s": content}
    row = {"match": {"model": "m"}, "pool": "p", "kind": "engine", **deadline}
    return {"schema": 1, "rows": {"r": row}}


class ConfigMachine(stateful.RuleBasedStateMachine):
    """Offers versions and contents in any order."""

    state_class = tables.ConfigState

    def __init__(self):
        super().__init__()
        self.state = self.state_class()
        self.highest_valid = 0
        self.text = None

    @stateful.rule(
        version=st.integers(1, 8),
        content=st.integers(0, 2),
        source=st.sampled_from(["store", "peer"]),
    )
    def offer(self, version, content, source):
        kind = tables.TableKind.ROUTES
        before = self.state.version(kind)
        report = self.state.update(
            kind, version, value_of(content), source, 1.0
        )
        after = self.state.version(kind)
        assert after >= before, "the version went back"
        is_valid = content > 0
        if is_valid:
            self.highest_valid = max(self.highest_valid, version)
        assert after == self.highest_valid
        self.check_outcome(report.outcome, version, before, is_valid)
        self.check_content(before, after)

    def check_outcome(self, outcome, version, before, is_valid):
        if version < before:
            assert outcome is tables.UpdateOutcome.OLDER
        elif version > before:
            assert (outcome is tables.UpdateOutcome.ACCEPTED) == is_valid
        else:
            assert outcome in (
                tables.UpdateOutcome.SAME,
                tables.UpdateOutcome.CONTENT_DIFFERS,
            )

    def check_content(self, before, after):
        in_force = self.state.active_table(tables.TableKind.ROUTES)
        text = in_force.text if in_force else None
        if before == after:
            assert text == self.text, "the content changed at one version"
        self.text = text


def test_versions_never_go_back():
    stateful.run_state_machine_as_test(ConfigMachine, settings=SETTINGS)


class WithoutComparison(tables.ConfigState):
    """ConfigState that accepts every version."""

    def _compare(self, kind, version, value):
        return tables.UpdateOutcome.ACCEPTED


class MutatedMachine(ConfigMachine):
    """Runs the same rules on the mutated state."""

    state_class = WithoutComparison


def test_the_machine_finds_a_missing_version_comparison():
    # Guards against a machine that could not see a version going back.
    quiet = settings(
        SETTINGS, phases=[hypothesis.Phase.generate], print_blob=False
    )
    with pytest.raises(AssertionError, match="the version went back"):
        stateful.run_state_machine_as_test(MutatedMachine, settings=quiet)


def test_equal_versions_with_other_content_are_counted():
    # Guards against two stores that give out different tables unnoticed.
    state = tables.ConfigState()
    kind = tables.TableKind.ROUTES
    state.update(kind, 3, value_of(1), "store", 1.0)
    report = state.update(kind, 3, value_of(2), "peer", 2.0)
    assert report.outcome is tables.UpdateOutcome.CONTENT_DIFFERS
    assert state.counts[kind, tables.UpdateOutcome.CONTENT_DIFFERS] == 1
    assert state.routes.routes_by_name["r"].deadline_s == 1


def test_the_mutation_replaces_the_real_comparison():
    assert hasattr(config_state.ConfigState, "_compare")
