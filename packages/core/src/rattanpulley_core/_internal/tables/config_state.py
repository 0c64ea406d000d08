"""The tables in force in one process."""

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
    """The two tables."""

    ROUTES = "routes"
    POOLS = "pools"

    @property
    def key(self) -> str:
        """Key of the table in the object API."""
        return f"tables/{self.value}"


class UpdateOutcome(enum.Enum):
    """What became of an offered table."""

    ACCEPTED = "accepted"
    SAME = "same"
    OLDER = "older"
    CONTENT_DIFFERS = "content_differs"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateResult:
    """Result of one offer.

    Attributes:
        kind: Which table.
        outcome: Whether the table is in force now, or why not.
        version: Version that was offered.
        version_in_force: Version in force after the offer; 0 if none.
        source: Where the offered table came from.
        validation_errors: Diagnostics of a table that does not parse.
    """

    kind: TableKind
    outcome: UpdateOutcome
    version: int
    version_in_force: int
    source: str
    validation_errors: tuple[diagnostics.Diagnostic, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveTable:
    """One table as it was accepted.

    Attributes:
        version: Version of the stored object.
        text: Canonical JSON text of the whole value, with unknown fields, so
            that peers can be given what the store held.
        table: The parsed rows.
        source: Where the table came from.
        accepted_at_s: Monotonic seconds of the acceptance.
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
    """Returns the JSON text that is equal for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


class ConfigState:
    """Accepts newer tables and never goes back to an older one.

    Each table is judged by itself. A fault between the two tables does not
    refuse one of them: they arrive in any order, and a daemon that refused a
    route because its pool had not arrived yet would keep the old routes.
    `consistency_diagnostics` returns such faults.

    Attributes:
        counts: Number of offers by kind and outcome.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[TableKind, UpdateOutcome]] = (
            collections.Counter()
        )
        self._in_force_by_kind: dict[TableKind, ActiveTable] = {}

    def update(
        self,
        kind: TableKind,
        version: int,
        value: Any,
        source: str,
        now_s: float,
    ) -> UpdateResult:
        """Offers a table that was read from the store or sent by a peer.

        Args:
            kind: Which table.
            version: Version of the stored object.
            value: Decoded JSON value of the object.
            source: Where the value came from, for reports.
            now_s: Monotonic seconds.

        Returns:
            The outcome; nothing is raised for a table that is refused.
        """
        found: tuple[diagnostics.Diagnostic, ...] = ()
        outcome = self._compare(kind, version, value)
        if outcome is UpdateOutcome.ACCEPTED:
            found = self._accept(kind, version, value, source, now_s)
            if found:
                outcome = UpdateOutcome.INVALID
        self.counts[kind, outcome] += 1
        return UpdateResult(
            kind, outcome, version, self.version(kind), source, found
        )

    def version(self, kind: TableKind) -> int:
        """Returns the version in force, or 0."""
        in_force = self._in_force_by_kind.get(kind)
        return in_force.version if in_force else 0

    def active_table(self, kind: TableKind) -> ActiveTable | None:
        """Returns the table in force, or None before the first one."""
        return self._in_force_by_kind.get(kind)

    @property
    def routes(self) -> rows.RouteTable:
        """The routes in force; empty with version 0 before the first one."""
        in_force = self._in_force_by_kind.get(TableKind.ROUTES)
        if in_force and isinstance(in_force.table, rows.RouteTable):
            return in_force.table
        return rows.RouteTable(0, {})

    @property
    def pools(self) -> rows.PoolTable:
        """The pools in force; empty with version 0 before the first one."""
        in_force = self._in_force_by_kind.get(TableKind.POOLS)
        if in_force and isinstance(in_force.table, rows.PoolTable):
            return in_force.table
        return rows.PoolTable(0, {})

    def consistency_diagnostics(self) -> list[diagnostics.Diagnostic]:
        """Returns the faults between the two tables in force."""
        return consistency.check_consistency(self.routes, self.pools)

    def _compare(
        self, kind: TableKind, version: int, value: Any
    ) -> UpdateOutcome:
        in_force = self._in_force_by_kind.get(kind)
        if version > self.version(kind):
            return UpdateOutcome.ACCEPTED
        if in_force is None or version < in_force.version:
            return UpdateOutcome.OLDER
        if canonical_text(value) == in_force.text:
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
        self._in_force_by_kind[kind] = ActiveTable(
            version, canonical_text(value), table, source, now_s
        )
        return ()
