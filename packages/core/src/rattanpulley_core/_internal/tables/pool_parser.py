"""Parsing of the pools table."""

from typing import Any
import urllib.parse

from rattanpulley_core._internal.tables import reader
from rattanpulley_core._internal.tables import route_parser
from rattanpulley_core._internal.tables import rows

MAX_WEIGHT = 1_000_000.0
# 2001-09-09 to 2286-11-20; a value outside is not in Unix seconds.
MIN_WALL_S = 1e9
MAX_WALL_S = 1e10


def parse_pools(value: Any, version: int) -> rows.PoolTable:
    """Parses the JSON value of the object `tables/pools`.

    Args:
        value: The decoded JSON value.
        version: Version of the stored object.

    Raises:
        TableValidationError: With all faults.
    """
    return rows.PoolTable(version, reader.parse_rows(value, _parse_pool))


def _parse_pool(name: str, row: reader.Reader) -> rows.Pool:
    kind = route_parser.parse_kind(row)
    versions_by_name = _parse_versions(row)
    targets_by_name = _parse_targets(row, versions_by_name)
    move = _parse_move(row, versions_by_name, targets_by_name)
    return rows.Pool(name, kind, versions_by_name, targets_by_name, move)


def _parse_versions(row: reader.Reader) -> dict[str, rows.VersionSpec]:
    holders_by_name = row.children("versions")
    row.check_names(holders_by_name)
    faults_before = len(row.found)
    versions_by_name = {
        name: rows.VersionSpec(name, holder.number("weight", 0, MAX_WEIGHT, 1))
        for name, holder in holders_by_name.items()
    }
    is_sound = isinstance(row.fields.get("versions"), dict)
    is_sound = is_sound and len(row.found) == faults_before
    if is_sound and not any(v.weight for v in versions_by_name.values()):
        row.report(
            "versions",
            "no version has a weight above 0",
            "Give at least one version with a weight above 0",
        )
    return versions_by_name


def _parse_targets(
    row: reader.Reader, versions_by_name: dict[str, rows.VersionSpec]
) -> dict[str, rows.TargetSpec]:
    holders_by_name = row.children("targets")
    row.check_names(holders_by_name)
    targets_by_name: dict[str, rows.TargetSpec] = {}
    names_by_url: dict[str, str] = {}
    for name, holder in holders_by_name.items():
        target = rows.TargetSpec(
            name=name,
            url=_parse_url(holder),
            failure_domain=holder.name("failure_domain"),
            version=holder.name("version"),
        )
        if target.version and target.version not in versions_by_name:
            _report_version(holder, "version", target.version, versions_by_name)
        if target.url and names_by_url.setdefault(target.url, name) != name:
            holder.report(
                "url",
                f"target {names_by_url[target.url]!r} has the same URL",
                "Give each target its own URL",
            )
        targets_by_name[name] = target
    return targets_by_name


def _parse_url(holder: reader.Reader) -> str:
    url = holder.text("url")
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
        holder.report(
            "url",
            f"{url!r} is not the base URL of a target",
            "Give http://ADDRESS:PORT",
        )
    return url.rstrip("/")


def _parse_move(
    row: reader.Reader,
    versions_by_name: dict[str, rows.VersionSpec],
    targets_by_name: dict[str, rows.TargetSpec],
) -> rows.Move | None:
    holder = row.optional_child("move")
    if holder is None:
        return None
    faults_before = len(row.found)
    move = rows.Move(
        move_id=holder.name("move_id"),
        from_version=holder.name("from_version"),
        to_version=holder.name("to_version"),
        start_at_s=holder.number("start_at_s", MIN_WALL_S, MAX_WALL_S),
        finish_by_s=holder.number("finish_by_s", MIN_WALL_S, MAX_WALL_S),
        paused=holder.flag("paused", default=False),
        paused_at_s=_parse_paused_at(holder),
        taken_back=holder.flag("taken_back", default=False),
    )
    for key in ("from_version", "to_version"):
        version = getattr(move, key)
        if version and version not in versions_by_name:
            _report_version(holder, key, version, versions_by_name)
    if len(row.found) == faults_before:
        _check_move(holder, move, targets_by_name)
    return move


def _parse_paused_at(holder: reader.Reader) -> float | None:
    if holder.fields.get("paused_at_s") is None:
        return None
    return holder.number("paused_at_s", MIN_WALL_S, MAX_WALL_S)


def _check_move(
    holder: reader.Reader,
    move: rows.Move,
    targets_by_name: dict[str, rows.TargetSpec],
) -> None:
    """Checks the fields of a move against each other."""
    if move.from_version == move.to_version:
        holder.report(
            "to_version",
            "the move goes from a version to itself",
            "Name two versions",
        )
    if move.finish_by_s <= move.start_at_s:
        holder.report(
            "finish_by_s",
            "the move ends before it starts",
            "Give a time after start_at_s",
        )
    if all(t.version != move.to_version for t in targets_by_name.values()):
        holder.report(
            "to_version",
            f"no target of the pool runs version {move.to_version!r}",
            "Add a target of this version",
        )


def _report_version(
    holder: reader.Reader,
    key: str,
    version: str,
    versions_by_name: dict[str, rows.VersionSpec],
) -> None:
    known = ", ".join(sorted(versions_by_name)) or "none"
    holder.report(
        key,
        f"{version!r} is not a version of the pool",
        f"Use a version of the pool ({known}) or add it to versions",
    )
