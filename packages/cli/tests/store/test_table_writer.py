"""Concurrent changes of one table by two operators, with lost responses."""

import itertools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from rattanpulley import exceptions
from rattanpulley._internal.store import table_change
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.store import table_writer
from rattanpulley_core import tables

CALL_OUTCOMES = ["ok", "lost", "down", "stale"]
KIND = tables.TableKind.POOLS


def pools_value(deadline):
    versions = {"v1": {"weight": deadline}}
    row = {"kind": "service", "versions": versions, "targets": {}}
    return {"schema": 1, "rows": {"p": row}}


class Operators:
    """Two operators who write to one store."""

    def __init__(self, store):
        self.store = store
        self.ids = (f"c{number}" for number in itertools.count())

    def apply(self, who, weight, expected):
        writer = table_writer.TableWriter(
            self.store, lambda: 1.8e9, lambda: next(self.ids), lambda _: None
        )
        change = table_change.Change(
            KIND, pools_value(weight), expected, who, "apply", ""
        )
        return writer.apply(change)

    def version(self):
        stored = self.store.objects_by_key.get(KIND.key)
        return stored.version if stored else 0

    def writes(self):
        return [s for s in self.store.history if s.key == KIND.key]


class RaceMachine(stateful.RuleBasedStateMachine):
    """Applies changes while calls fail or another operator interferes."""

    make_store = None

    def __init__(self):
        super().__init__()
        self.operators = Operators(self.make_store())
        self.weights = itertools.count(1)
        self.confirmed = []
        self.rejected = []
        self.reported_versions = []

    def attempt(self, who, expected):
        weight = next(self.weights)
        try:
            applied = self.operators.apply(who, weight, expected)
        except exceptions.ConflictError as error:
            self.rejected.append(weight)
            self.reported_versions.append(
                (expected, error.details["current_version"])
            )
        except exceptions.StoreUnavailableError:
            self.rejected.append(weight)
        except exceptions.OutcomeUnknownError:
            pass
        else:
            self.confirmed.append((weight, applied.version))

    @stateful.rule(
        outcomes=st.lists(st.sampled_from(CALL_OUTCOMES), max_size=8),
        competing_write_at=st.integers(0, 9),
        versions_behind=st.integers(0, 1),
    )
    def race(self, outcomes, competing_write_at, versions_behind):
        operators = self.operators
        expected = max(0, operators.version() - versions_behind)

        def competing_write():
            remaining_outcomes, operators.store.call_outcomes = (
                operators.store.call_outcomes,
                [],
            )
            self.attempt("bo", operators.version())
            operators.store.call_outcomes = remaining_outcomes

        call_outcomes = list(outcomes)
        if competing_write_at < len(call_outcomes):
            call_outcomes.insert(competing_write_at, competing_write)
        operators.store.call_outcomes = call_outcomes
        self.attempt("ana", expected)
        operators.store.call_outcomes = []

    @stateful.invariant()
    def results_match_the_store(self):
        weights_by_version = {
            stored.version: stored.value["rows"]["p"]["versions"]["v1"][
                "weight"
            ]
            for stored in self.operators.writes()
        }
        for weight, version in self.confirmed:
            assert weights_by_version[version] == weight
        assert not set(self.rejected) & set(weights_by_version.values())

    @stateful.invariant()
    def conflict_reports_another_version(self):
        assert all(
            current != expected for expected, current in self.reported_versions
        )

    @stateful.invariant()
    def every_version_has_an_audit_entry(self):
        rows = table_reader.read_audit(self.operators.store, [KIND])
        versions = [row.version for row in rows]
        assert sorted(versions) == list(range(1, self.operators.version() + 1))


def test_concurrent_changes_with_lost_responses(store_class):
    # Guards against lost updates, false reports of success or failure, and
    # changes without an audit entry.
    RaceMachine.make_store = staticmethod(store_class)
    stateful.run_state_machine_as_test(
        RaceMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=80,
            stateful_step_count=12,
        ),
    )


@pytest.fixture
def operators(store_class):
    return Operators(store_class())


def test_conflict_names_the_newer_change_and_its_author(operators):
    operators.apply("ana", 1, 0)
    operators.apply("bo", 2, 1)
    with pytest.raises(exceptions.ConflictError, match="version 2 by bo") as e:
        operators.apply("ana", 3, 1)
    assert "rows.p.versions.v1.weight" in str(e.value)


def test_lost_response_is_not_a_failure(operators):
    # The calls are a read, a read of the other table and the write.
    operators.store.call_outcomes = ["ok", "ok", "lost"]
    applied = operators.apply("ana", 1, 0)
    assert applied.version == 1
    assert applied.read_back


def test_lost_response_is_resolved_from_the_audit_copy(operators):
    operators.apply("ana", 1, 0)
    operators.store.call_outcomes = [
        *["ok"] * 3,
        "lost",
        lambda: operators.apply("bo", 9, 2),
    ]
    assert operators.apply("ana", 2, 1).version == 2
    assert operators.version() == 3


def test_unconfirmed_write_has_an_unknown_outcome(operators):
    operators.store.call_outcomes = ["ok", "ok", *["down"] * 20]
    with pytest.raises(exceptions.OutcomeUnknownError, match="c0"):
        operators.apply("ana", 1, 0)


def test_stale_read_does_not_hide_an_applied_change(operators):
    # The reads after the write return the state before it.
    operators.apply("ana", 1, 0)
    operators.store.call_outcomes = [
        *["ok"] * 3,
        "lost",
        "stale",
        "ok",
        "stale",
    ]
    assert operators.apply("ana", 2, 1).version == 2


def test_rejected_write_is_a_conflict_even_if_all_reads_are_stale(operators):
    # Guards against a report that a rejected change may still take effect.
    operators.apply("ana", 1, 0)
    operators.apply("bo", 2, 1)
    operators.store.call_outcomes = ["stale"] * 40
    with pytest.raises(exceptions.ConflictError, match="version 2, not 1"):
        operators.apply("ana", 3, 1)


def test_unknown_fields_beside_the_rows_are_preserved(operators):
    # Guards against the loss of fields that a newer program wrote.
    operators.store.put(KIND.key, {**pools_value(1), "notes": "x"}, 0)
    operators.apply("ana", 2, 1)
    assert operators.store.get(KIND.key).value["notes"] == "x"
