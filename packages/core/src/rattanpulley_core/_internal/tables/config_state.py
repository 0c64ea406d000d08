"""The active routes and pools tables of one process."""

import collections
from collections.abc import Callable
import dataclasses
import enum
import json
from typing import Any

from rattanpulley_core._internal.tables import consistency
from rattanpulley_core._internal.tables import diagnostics
from rattanpulley_core._internal.tables import pool_parser
from rattanpulley_core._internal.tables import route_parser
from rattanpulley_core._internal.tables import rows


class TableKind(enum.Enum):
    """Kind of a configuration table."""

    ROUTES = "routes"
    POOLS = "pools"

    @property
    def key(self) -> str:
        """Key of the table in the object store."""
        return f"tables/{self.value}"


class UpdateOutcome(enum.Enum):
    """Outcome of a table update."""

    ACCEPTED = "accepted"
    SAME = "same"
    OLDER = "older"
    CONTENT_DIFFERS = "content_differs"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateResult:
    """Result of one table update.

    Attributes:
        kind: Kind of the table.
        outcome: Whether the table is active now, or why it is not.
        version: Version of the update.
        active_version: Active version after the update; 0 if there is none.
        source: Source of the update, such as the store or a peer.
        validation_errors: Errors of the table; empty unless it is invalid.
    """

    kind: TableKind
    outcome: UpdateOutcome
    version: int
    active_version: int
    source: str
    validation_errors: tuple[diagnostics.Diagnostic, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveTable:
    """A table that was accepted and is in use.

    Attributes:
        version: Version of the stored object.
        text: Canonical JSON text of the whole value, including unknown fields,
            so that peers receive the same content that the store returned.
        table: The parsed table.
        source: Source of the update, such as the store or a peer.
        accepted_at_s: Monotonic time of the update in seconds.
    """

    version: int
    text: str
    table: rows.RouteTable | rows.PoolTable
    source: str
    accepted_at_s: float


_Parser = Callable[[Any, int], rows.RouteTable | rows.PoolTable]
_PARSERS_BY_KIND: dict[TableKind, _Parser] = {
    TableKind.ROUTES: route_parser.parse_routes,
    TableKind.POOLS: pool_parser.parse_pools,
}


def canonical_text(value: Any) -> str:
    """Returns a JSON text that is equal for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


class ConfigState:
    """Holds the active tables; a table is only replaced by a newer version.

    Each table is validated on its own. An inconsistency between the two tables
    does not reject either of them: they arrive in any order, and a daemon that
    rejected a route because its pool had not arrived yet would keep the old
    routes. `consistency_diagnostics` returns the inconsistencies.

    Attributes:
        counts: Number of updates by kind and outcome.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[TableKind, UpdateOutcome]] = (
            collections.Counter()
        )
        self._active_by_kind: dict[TableKind, ActiveTable] = {}

    def update(
        self,
        kind: TableKind,
        version: int,
        value: Any,
        source: str,
        now_s: float,
    ) -> UpdateResult:
        """Activates a table if it is valid and newer than the active one.

        Args:
            kind: Kind of the table.
            version: Version of the stored object.
            value: Decoded JSON value of the object.
            source: Source of the value, for reports.
            now_s: Monotonic time in seconds.

        Returns:
            The result; a rejected table does not raise an exception.
        """
        errors: tuple[diagnostics.Diagnostic, ...] = ()
        outcome = self._compare(kind, version, value)
        if outcome is UpdateOutcome.ACCEPTED:
            errors = self._accept(kind, version, value, source, now_s)
            if errors:
                outcome = UpdateOutcome.INVALID
        self.counts[kind, outcome] += 1
        return UpdateResult(
            kind, outcome, version, self.version(kind), source, errors
        )

    def version(self, kind: TableKind) -> int:
        """Returns the version of the active table, or 0 if there is none."""
        active = self._active_by_kind.get(kind)
        return active.version if active else 0

    def active_table(self, kind: TableKind) -> ActiveTable | None:
        """Returns the active table, or None before the first update."""
        return self._active_by_kind.get(kind)

    @property
    def routes(self) -> rows.RouteTable:
        """The active routes; empty with version 0 before the first update."""
        active = self._active_by_kind.get(TableKind.ROUTES)
        if active and isinstance(active.table, rows.RouteTable):
            return active.table
        return rows.RouteTable(0, {})

    @property
    def pools(self) -> rows.PoolTable:
        """The active pools; empty with version 0 before the first update."""
        active = self._active_by_kind.get(TableKind.POOLS)
        if active and isinstance(active.table, rows.PoolTable):
            return active.table
        return rows.PoolTable(0, {})

    def consistency_diagnostics(self) -> list[diagnostics.Diagnostic]:
        """Returns the inconsistencies between the two active tables."""
        return consistency.check_consistency(self.routes, self.pools)

    def _compare(
        self, kind: TableKind, version: int, value: Any
    ) -> UpdateOutcome:
        active = self._active_by_kind.get(kind)
        if version > self.version(kind):
            return UpdateOutcome.ACCEPTED
        if active is None or version < active.version:
            return UpdateOutcome.OLDER
        if canonical_text(value) == active.text:
            return UpdateOutcome.SAME
        return UpdateOutcome.CONTENT_DIFFERS

    def _accept(
        self,
        kind: TableKind,
        version: int,
        value: Any,
        source: str,
        now_s: float,
    ) -> tuple[diagnostics.Diagnostic, ...]:
        try:
            table = _PARSERS_BY_KIND[kind](value, version)
        except diagnostics.TableValidationError as error:
            return error.diagnostics
        self._active_by_kind[kind] = ActiveTable(
            version, canonical_text(value), table, source, now_s
        )
        return ()
