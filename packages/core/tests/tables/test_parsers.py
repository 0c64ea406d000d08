"""Tests of the table parsers, the consistency checks and the warnings."""

import contextlib
import copy

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import tables

ROUTES = {
    "schema": 1,
    "rows": {
        "assistant": {"match": {"model": "m"}, "pool": "p", "kind": "engine"},
        "mail": {
            "match": {"service": "mail"},
            "pool": "s",
            "kind": "service",
            "repeatable": False,
            "limits_by_account": {"acme": {"concurrent": 2}},
        },
    },
}
POOLS = {
    "schema": 1,
    "rows": {
        "p": {
            "kind": "engine",
            "versions": {"v1": {}, "v2": {"weight": 0}},
            "targets": {
                "e1": {
                    "url": "http://127.0.0.1:9001",
                    "failure_domain": "north",
                    "version": "v1",
                },
                "e2": {
                    "url": "http://127.0.0.1:9002",
                    "failure_domain": "south",
                    "version": "v2",
                },
            },
            "move": {
                "move_id": "m1",
                "from_version": "v1",
                "to_version": "v2",
                "start_at_s": 1_800_000_000,
                "finish_by_s": 1_800_003_600,
            },
        },
        "s": {"kind": "service", "versions": {"v1": {}}, "targets": {}},
    },
}


def with_field(value, path, new):
    """Returns a copy with one field replaced, or removed if `new` is None."""
    result = copy.deepcopy(value)
    *parents, last = path.split("/")
    parent = result
    for key in parents:
        parent = parent[key]
    if new is None:
        del parent[last]
    else:
        parent[last] = new
    return result


def error_paths(parse, value):
    with pytest.raises(tables.TableValidationError) as error_info:
        parse(value, 1)
    return [diagnostic.path for diagnostic in error_info.value.diagnostics]


def test_valid_tables_parse():
    routes = tables.parse_routes(ROUTES, 4)
    pools = tables.parse_pools(POOLS, 5)
    assert routes.version == 4
    assert not routes.routes_by_name["mail"].repeatable
    assert pools.pools_by_name["p"].move.to_version == "v2"
    assert tables.check_consistency(routes, pools) == []


@pytest.mark.parametrize(
    ("path", "new"),
    [
        ("rows/assistant/pool", None),
        ("rows/assistant/kind", "engin"),
        ("rows/assistant/match/service", "x"),
        ("rows/assistant/deadline_s", float("nan")),
        ("rows/assistant/deadline_s", 10**400),
        ("rows/assistant/priority", True),
        ("rows/assistant/repeatable", False),
        ("rows/assistant/max_tokens", 65537),
        ("rows/mail/limits_by_account/acme/concurrent", -1),
        ("schema", "1"),
    ],
)
def test_an_invalid_route_field_is_reported(path, new):
    # Guards against accepting a routes table with an invalid value.
    paths = error_paths(tables.parse_routes, with_field(ROUTES, path, new))
    assert path.replace("/", ".") in paths


@pytest.mark.parametrize(
    ("path", "new"),
    [
        ("rows/p/targets/e1/version", "v9"),
        ("rows/p/targets/e1/url", "http://127.0.0.1:9002"),
        ("rows/p/targets/e1/url", "ftp://127.0.0.1:9001"),
        ("rows/p/targets/e1/url", "http://127.0.0.1:x"),
        ("rows/p/versions/v1/weight", -1),
        ("rows/p/versions/v1/weight", 0),
        ("rows/p/move/from_version", "v2"),
        ("rows/p/move/finish_by_s", 1_800_000_000),
        ("rows/p/move/finish_by_s", 1_800_000_000_000),
        ("rows/p/move/move_id", "a/b"),
        ("rows/p/targets/e2", None),
    ],
)
def test_an_invalid_pool_field_is_reported(path, new):
    # Guards against accepting a pool that cannot serve requests, or whose move
    # cannot be performed.
    value = with_field(POOLS, path, new)
    assert len(error_paths(tables.parse_pools, value)) == 1


def test_all_errors_are_reported_at_once():
    value = with_field(ROUTES, "rows/assistant/deadline_s", 0)
    value = with_field(value, "rows/mail/pool", None)
    assert error_paths(tables.parse_routes, value) == [
        "rows.assistant.deadline_s",
        "rows.mail.pool",
    ]


def test_unknown_fields_are_accepted_with_a_warning():
    # Guards against rejecting fields of a later schema, and against misspelled
    # field names that go unnoticed.
    value = with_field(ROUTES, "rows/assistant/dedline_s", 3)
    assert tables.parse_routes(value, 1)
    (warning,) = tables.unknown_fields(value)
    assert warning.path == "rows.assistant.dedline_s"
    assert "deadline_s" in warning.hint


def test_inconsistent_tables_are_reported():
    value = with_field(ROUTES, "rows/assistant/pool", "s")
    value = with_field(value, "rows/mail/pool", "none")
    value["rows/twin"] = None
    value["rows"]["twin"] = {
        "match": {"model": "m"},
        "pool": "p",
        "kind": "engine",
    }
    routes = tables.parse_routes(value, 1)
    errors = tables.check_consistency(routes, tables.parse_pools(POOLS, 1))
    assert [error.path for error in errors] == [
        "rows.assistant.pool",
        "rows.mail.pool",
        "rows.twin.match",
    ]


def test_a_new_version_with_weight_gives_a_warning():
    # Guards against a new version that gets half of the requests at once, since
    # there is no move to it.
    before = tables.parse_pools(with_field(POOLS, "rows/p/move", None), 1)
    value = with_field(POOLS, "rows/p/move", None)
    value["rows"]["p"]["versions"]["v2"] = {"weight": 1}
    (warning,) = tables.abrupt_weight_increases(
        before, tables.parse_pools(value, 2)
    )
    assert warning.path == "rows.p.versions.v2.weight"


KNOWN_KEYS = [
    "schema",
    "rows",
    "match",
    "kind",
    "versions",
    "targets",
    "move",
    "a",
]
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(KNOWN_KEYS),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(JSON_VALUES)
def test_any_json_value_parses_or_reports_errors(value):
    # Guards against other exceptions, which would end the table watch of a
    # daemon.
    for parse in (tables.parse_routes, tables.parse_pools):
        with contextlib.suppress(tables.TableValidationError):
            parse(value, 1)
