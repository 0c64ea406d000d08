"""Parser of the routes table."""

from typing import Any

from rattanpulley_core._internal.tables import kind_parser
from rattanpulley_core._internal.tables import reader
from rattanpulley_core._internal.tables import rows

# One day. A larger value most likely has the wrong unit, such as milliseconds.
MAX_DEADLINE_S = 86_400.0
MIN_DEADLINE_S = 0.01
# Maximum number of tokens in the journal of a generation (design 5.1).
MAX_TOKENS = 65_536
MAX_PRIORITY = 1_000
MAX_CONCURRENT = 1_000_000


def parse_routes(value: Any, version: int) -> rows.RouteTable:
    """Parses the JSON value of the object `tables/routes`.

    Args:
        value: The decoded JSON value.
        version: Version of the stored object.

    Raises:
        TableValidationError: The table is invalid; carries all errors.
    """
    return rows.RouteTable(version, reader.parse_rows(value, _parse_route))


def _parse_route(name: str, row: reader.ObjectReader) -> rows.Route:
    kind = kind_parser.parse_kind(row)
    return rows.Route(
        name=name,
        match=_parse_match(row, kind),
        pool=row.name("pool"),
        kind=kind,
        repeatable=_parse_repeatable(row, kind),
        priority=row.integer("priority", -MAX_PRIORITY, MAX_PRIORITY, 0),
        deadline_s=row.number(
            "deadline_s", MIN_DEADLINE_S, MAX_DEADLINE_S, 600.0
        ),
        max_call_s=row.number(
            "max_call_s", MIN_DEADLINE_S, MAX_DEADLINE_S, 10.0
        ),
        max_tokens=row.integer("max_tokens", 1, MAX_TOKENS, 4096),
        default_limit=_parse_limit(row.optional_child("default_limit")),
        limits_by_account=_parse_limits(row),
    )


def _parse_match(row: reader.ObjectReader, kind: rows.TargetKind) -> rows.Match:
    if "match" not in row.fields:
        row.report_missing("match", "Give an object")
        return rows.Match()
    match = row.child("match")
    if not isinstance(row.fields["match"], dict):
        return rows.Match()
    parsed = rows.Match(
        match.optional_text("model"), match.optional_text("service")
    )
    required_field, excluded_field = "model", "service"
    if kind is rows.TargetKind.SERVICE:
        required_field, excluded_field = excluded_field, required_field
    if getattr(parsed, required_field) is None:
        match.report_missing(
            required_field, f"Name the {required_field} to match"
        )
    if getattr(parsed, excluded_field) is not None:
        match.report(
            excluded_field,
            f"a route of kind {kind.value} cannot match a {excluded_field}",
            f"Remove it, or change the kind of route {row.keys[-1]!r}",
        )
    return parsed


def _parse_repeatable(row: reader.ObjectReader, kind: rows.TargetKind) -> bool:
    repeatable = row.boolean("repeatable", default=True)
    if not repeatable and kind is rows.TargetKind.ENGINE:
        # Resuming a generation runs it on a second engine.
        row.report(
            "repeatable",
            "a generation can always run more than once",
            "Remove the field, or use a route of kind service",
        )
    return repeatable


def _parse_limit(
    object_reader: reader.ObjectReader | None,
) -> rows.AccountLimit | None:
    if object_reader is None:
        return None
    if "concurrent" not in object_reader.fields:
        object_reader.report_missing("concurrent", "Give a number")
    return rows.AccountLimit(
        object_reader.integer("concurrent", 0, MAX_CONCURRENT, 0)
    )


def _parse_limits(row: reader.ObjectReader) -> dict[str, rows.AccountLimit]:
    limits_by_account: dict[str, rows.AccountLimit] = {}
    readers_by_account = row.children("limits_by_account", required=False)
    for account, object_reader in readers_by_account.items():
        if not account or "." in account:
            # The account is the part of the bearer token before the first dot.
            object_reader.report_object(
                f"{account!r} is not an account",
                "Give the part of the bearer token before the first dot",
            )
        limit = _parse_limit(object_reader)
        if limit is not None:
            limits_by_account[account] = limit
    return limits_by_account
