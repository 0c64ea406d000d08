"""Stateful test of the active tables, and a mutation test of it."""

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


def make_table(content):
    if content == 0:
        return {"schema": 1}
    deadline = {"deadline_s": content}
    row = {"match": {"model": "m"}, "pool": "p", "kind": "engine", **deadline}
    return {"schema": 1, "rows": {"r": row}}


class ConfigStateMachine(stateful.RuleBasedStateMachine):
    """Updates a table with versions and contents in any order."""

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
    def update(self, version, content, source):
        kind = tables.TableKind.ROUTES
        before = self.state.version(kind)
        report = self.state.update(
            kind, version, make_table(content), source, 1.0
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
        active = self.state.active_table(tables.TableKind.ROUTES)
        text = active.text if active else None
        if before == after:
            assert text == self.text, "the content changed at one version"
        self.text = text


def test_versions_never_go_back():
    stateful.run_state_machine_as_test(ConfigStateMachine, settings=SETTINGS)


class ConfigStateWithoutComparison(tables.ConfigState):
    """`ConfigState` without its version comparison: accepts every version."""

    def _compare(self, kind, version, value):
        return tables.UpdateOutcome.ACCEPTED


class MutatedConfigStateMachine(ConfigStateMachine):
    """Applies the same rules to the mutated `ConfigState`."""

    state_class = ConfigStateWithoutComparison


def test_the_stateful_test_detects_a_missing_version_comparison():
    # Guards against a stateful test that cannot detect a decreasing version.
    mutation_settings = settings(
        SETTINGS, phases=[hypothesis.Phase.generate], print_blob=False
    )
    with pytest.raises(AssertionError, match="the version went back"):
        stateful.run_state_machine_as_test(
            MutatedConfigStateMachine, settings=mutation_settings
        )


def test_equal_versions_with_other_content_are_counted():
    # Guards against different tables of the same version that go unnoticed.
    state = tables.ConfigState()
    kind = tables.TableKind.ROUTES
    state.update(kind, 3, make_table(1), "store", 1.0)
    report = state.update(kind, 3, make_table(2), "peer", 2.0)
    assert report.outcome is tables.UpdateOutcome.CONTENT_DIFFERS
    assert state.counts[kind, tables.UpdateOutcome.CONTENT_DIFFERS] == 1
    assert state.routes.routes_by_name["r"].deadline_s == 1


def test_the_mutated_method_exists():
    assert hasattr(config_state.ConfigState, "_compare")
