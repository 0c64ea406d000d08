"""Two operators race for one table while answers are lost."""

import itertools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from rattanpulley import exceptions
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.store import table_writer
from rattanpulley_core import tables

FATES = ["ok", "lost", "down", "stale"]
KIND = tables.TableKind.POOLS


def pools_value(deadline):
    versions = {"v1": {"weight": deadline}}
    row = {"kind": "service", "versions": versions, "targets": {}}
    return {"schema": 1, "rows": {"p": row}}


class Operators:
    """Two writers on one store."""

    def __init__(self, store):
        self.store = store
        self.ids = (f"c{number}" for number in itertools.count())

    def apply(self, who, weight, expected):
        writer = table_writer.TableWriter(
            self.store, lambda: 1.8e9, lambda: next(self.ids), lambda _: None
        )
        change = table_writer.Change(
            KIND, pools_value(weight), expected, who, "apply", ""
        )
        return writer.apply(change)

    def version(self):
        stored = self.store.objects_by_key.get(KIND.key)
        return stored.version if stored else 0

    def writes(self):
        return [s for s in self.store.history if s.key == KIND.key]


class RaceMachine(stateful.RuleBasedStateMachine):
    """Applies changes whose calls are lost, refused or interrupted."""

    make_store = None

    def __init__(self):
        super().__init__()
        self.operators = Operators(self.make_store())
        self.weights = itertools.count(1)
        self.confirmed = []
        self.refused = []
        self.told = []

    def attempt(self, who, expected):
        weight = next(self.weights)
        try:
            applied = self.operators.apply(who, weight, expected)
        except exceptions.ConflictError as error:
            self.refused.append(weight)
            self.told.append((expected, error.details["current_version"]))
        except exceptions.StoreUnavailableError:
            self.refused.append(weight)
        except exceptions.OutcomeUnknownError:
            pass
        else:
            self.confirmed.append((weight, applied.version))

    @stateful.rule(
        fates=st.lists(st.sampled_from(FATES), max_size=8),
        rival_at=st.integers(0, 9),
        stale=st.integers(0, 1),
    )
    def race(self, fates, rival_at, stale):
        operators = self.operators
        expected = max(0, operators.version() - stale)

        def rival():
            rest, operators.store.plan = operators.store.plan, []
            self.attempt("bo", operators.version())
            operators.store.plan = rest

        plan = list(fates)
        if rival_at < len(plan):
            plan.insert(rival_at, rival)
        operators.store.plan = plan
        self.attempt("ana", expected)
        operators.store.plan = []

    @stateful.invariant()
    def results_are_true(self):
        weights_by_version = {
            stored.version: stored.value["rows"]["p"]["versions"]["v1"][
                "weight"
            ]
            for stored in self.operators.writes()
        }
        for weight, version in self.confirmed:
            assert weights_by_version[version] == weight
        assert not set(self.refused) & set(weights_by_version.values())

    @stateful.invariant()
    def a_refusal_names_another_version(self):
        assert all(current != expected for expected, current in self.told)

    @stateful.invariant()
    def every_version_has_its_entry(self):
        rows = table_reader.read_audit(self.operators.store, [KIND])
        versions = [row.version for row in rows]
        assert sorted(versions) == list(range(1, self.operators.version() + 1))


def test_races_with_lost_answers(store_class):
    # Guards against a lost update, a false report of success or failure, and
    # a change without an audit entry.
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


def test_the_loser_is_told_what_changed_and_by_whom(operators):
    operators.apply("ana", 1, 0)
    operators.apply("bo", 2, 1)
    with pytest.raises(exceptions.ConflictError, match="version 2 by bo") as e:
        operators.apply("ana", 3, 1)
    assert "rows.p.versions.v1.weight" in str(e.value)


def test_a_lost_answer_is_not_a_failure(operators):
    # The calls are: read, read of the other table, write.
    operators.store.plan = ["ok", "ok", "lost"]
    applied = operators.apply("ana", 1, 0)
    assert applied.version == 1
    assert applied.read_back


def test_a_lost_answer_before_another_change_is_found_in_the_copy(operators):
    operators.apply("ana", 1, 0)
    operators.store.plan = [
        *["ok"] * 3,
        "lost",
        lambda: operators.apply("bo", 9, 2),
    ]
    assert operators.apply("ana", 2, 1).version == 2
    assert operators.version() == 3


def test_an_unconfirmed_write_is_reported_as_unknown(operators):
    operators.store.plan = ["ok", "ok", *["down"] * 20]
    with pytest.raises(exceptions.OutcomeUnknownError, match="c0"):
        operators.apply("ana", 1, 0)


def test_a_stale_read_does_not_hide_a_change_that_took_effect(operators):
    # The reads after the write show the state before it.
    operators.apply("ana", 1, 0)
    operators.store.plan = [*["ok"] * 3, "lost", "stale", "ok", "stale"]
    assert operators.apply("ana", 2, 1).version == 2


def test_a_refused_write_is_a_conflict_also_when_all_reads_are_stale(operators):
    # Guards against the report that a refused change may still take effect.
    operators.apply("ana", 1, 0)
    operators.apply("bo", 2, 1)
    operators.store.plan = ["stale"] * 40
    with pytest.raises(exceptions.ConflictError, match="version 2, not 1"):
        operators.apply("ana", 3, 1)


def test_unknown_fields_beside_the_rows_are_kept(operators):
    # Guards against an older program dropping what a newer one wrote.
    operators.store.put(KIND.key, {**pools_value(1), "notes": "x"}, 0)
    operators.apply("ana", 2, 1)
    assert operators.store.get(KIND.key).value["notes"] == "x"
