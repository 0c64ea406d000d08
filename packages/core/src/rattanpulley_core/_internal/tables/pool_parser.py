"""Parser of the pools table."""

from typing import Any
import urllib.parse

from rattanpulley_core._internal.tables import kind_parser
from rattanpulley_core._internal.tables import reader
from rattanpulley_core._internal.tables import rows

MAX_WEIGHT = 1_000_000.0
# 2001-09-09 to 2286-11-20. A value outside this range has another unit than
# Unix seconds.
MIN_WALL_S = 1e9
MAX_WALL_S = 1e10


def parse_pools(value: Any, version: int) -> rows.PoolTable:
    """Parses the JSON value of the object `tables/pools`.

    Args:
        value: The decoded JSON value.
        version: Version of the stored object.

    Raises:
        TableValidationError: The table is invalid; carries all errors.
    """
    return rows.PoolTable(version, reader.parse_rows(value, _parse_pool))


def _parse_pool(name: str, row: reader.ObjectReader) -> rows.Pool:
    kind = kind_parser.parse_kind(row)
    versions_by_name = _parse_versions(row)
    targets_by_name = _parse_targets(row, versions_by_name)
    move = _parse_move(row, versions_by_name, targets_by_name)
    return rows.Pool(name, kind, versions_by_name, targets_by_name, move)


def _parse_versions(row: reader.ObjectReader) -> dict[str, rows.VersionSpec]:
    readers_by_name = row.children("versions")
    row.check_names(readers_by_name)
    errors_before = len(row.errors)
    versions_by_name = {
        name: rows.VersionSpec(
            name, object_reader.number("weight", 0, MAX_WEIGHT, 1)
        )
        for name, object_reader in readers_by_name.items()
    }
    is_valid = isinstance(row.fields.get("versions"), dict)
    is_valid = is_valid and len(row.errors) == errors_before
    if is_valid and not any(v.weight for v in versions_by_name.values()):
        row.report(
            "versions",
            "no version has a weight above 0",
            "Give at least one version with a weight above 0",
        )
    return versions_by_name


def _parse_targets(
    row: reader.ObjectReader, versions_by_name: dict[str, rows.VersionSpec]
) -> dict[str, rows.TargetSpec]:
    readers_by_name = row.children("targets")
    row.check_names(readers_by_name)
    targets_by_name: dict[str, rows.TargetSpec] = {}
    names_by_url: dict[str, str] = {}
    for name, object_reader in readers_by_name.items():
        target = rows.TargetSpec(
            name=name,
            url=_parse_url(object_reader),
            failure_domain=object_reader.name("failure_domain"),
            version=object_reader.name("version"),
        )
        if target.version and target.version not in versions_by_name:
            _report_unknown_version(
                object_reader, "version", target.version, versions_by_name
            )
        if target.url and names_by_url.setdefault(target.url, name) != name:
            object_reader.report(
                "url",
                f"target {names_by_url[target.url]!r} has the same URL",
                "Give each target its own URL",
            )
        targets_by_name[name] = target
    return targets_by_name


def _parse_url(object_reader: reader.ObjectReader) -> str:
    url = object_reader.text("url")
    if not url:
        return ""
    try:
        parts = urllib.parse.urlsplit(url)
        is_valid = (
            parts.scheme == "http"
            and bool(parts.hostname)
            and parts.port is not None
            and parts.path in ("", "/")
            and not (parts.query or parts.fragment)
        )
    except ValueError:
        is_valid = False
    if not is_valid:
        object_reader.report(
            "url",
            f"{url!r} is not the base URL of a target",
            "Give http://ADDRESS:PORT",
        )
    return url.rstrip("/")


def _parse_move(
    row: reader.ObjectReader,
    versions_by_name: dict[str, rows.VersionSpec],
    targets_by_name: dict[str, rows.TargetSpec],
) -> rows.Move | None:
    object_reader = row.optional_child("move")
    if object_reader is None:
        return None
    errors_before = len(row.errors)
    move = rows.Move(
        move_id=object_reader.name("move_id"),
        from_version=object_reader.name("from_version"),
        to_version=object_reader.name("to_version"),
        start_at_s=object_reader.number("start_at_s", MIN_WALL_S, MAX_WALL_S),
        finish_by_s=object_reader.number("finish_by_s", MIN_WALL_S, MAX_WALL_S),
        paused=object_reader.boolean("paused", default=False),
        paused_at_s=_parse_paused_at(object_reader),
        taken_back=object_reader.boolean("taken_back", default=False),
    )
    for key in ("from_version", "to_version"):
        version = getattr(move, key)
        if version and version not in versions_by_name:
            _report_unknown_version(
                object_reader, key, version, versions_by_name
            )
    if len(row.errors) == errors_before:
        _check_move(object_reader, move, targets_by_name)
    return move


def _parse_paused_at(object_reader: reader.ObjectReader) -> float | None:
    if object_reader.fields.get("paused_at_s") is None:
        return None
    return object_reader.number("paused_at_s", MIN_WALL_S, MAX_WALL_S)


def _check_move(
    object_reader: reader.ObjectReader,
    move: rows.Move,
    targets_by_name: dict[str, rows.TargetSpec],
) -> None:
    """Checks the fields of a move against each other and the targets."""
    if move.from_version == move.to_version:
        object_reader.report(
            "to_version",
            "the move goes from a version to itself",
            "Name two versions",
        )
    if move.finish_by_s <= move.start_at_s:
        object_reader.report(
            "finish_by_s",
            "the move ends before it starts",
            "Give a time after start_at_s",
        )
    if all(t.version != move.to_version for t in targets_by_name.values()):
        object_reader.report(
            "to_version",
            f"no target of the pool runs version {move.to_version!r}",
            "Add a target of this version",
        )


def _report_unknown_version(
    object_reader: reader.ObjectReader,
    key: str,
    version: str,
    versions_by_name: dict[str, rows.VersionSpec],
) -> None:
    known = ", ".join(sorted(versions_by_name)) or "none"
    object_reader.report(
        key,
        f"{version!r} is not a version of the pool",
        f"Use a version of the pool ({known}) or add it to versions",
    )
