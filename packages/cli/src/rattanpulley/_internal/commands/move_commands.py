"""Commands on version moves."""

import abc
from collections.abc import Sequence
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs import option as cleo_option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.moves import edits
from rattanpulley._internal.moves import times
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.store import table_writer
from rattanpulley._internal.views import table_views
from rattanpulley._internal.views import text
from rattanpulley_core import tables

POOL_ARGUMENT = argument("pool", "Name of the pool.")
COMMON_OPTIONS = (
    base.REASON_OPTION,
    base.WHO_OPTION,
    base.PLATFORM_OPTION,
    base.JSON_OPTION,
)


class PoolEditCommand(base.OperatorCommand):
    """Reads the pools, edits one move and applies the result."""

    arguments = (POOL_ARGUMENT,)
    options: ClassVar[Sequence[cleo_option.Option]] = COMMON_OPTIONS

    @abc.abstractmethod
    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the edited pools table."""

    def make_output(self) -> text.Output:
        """Returns the changed fields and the new version."""
        kind = tables.TableKind.POOLS
        stored = table_reader.read_table(self.store(), kind)
        try:
            if stored.version > 0:
                # Only a table without faults has the form that is edited.
                tables.parse_pools(stored.value, stored.version)
            applied = self.writer().apply(self._change(stored))
        except tables.TableValidationError as error:
            raise _pools_error(error) from error
        return table_views.applied_output(kind, applied)

    def _change(self, stored: table_reader.StoredTable) -> table_writer.Change:
        return table_writer.Change(
            kind=stored.kind,
            value=self.edit(stored.value),
            expected_version=stored.version,
            who=self.who(),
            what=f"{self.name} {self.argument('pool')}",
            reason=self.option("reason"),
        )


class MoveStartCommand(PoolEditCommand):
    """Plans a move of a pool's requests to another version."""

    name = "move start"
    description = "Plans a move of a pool's requests to another version."
    options = (
        option("to", None, "Version that takes over.", flag=False),
        option("finish-by", None, "Date, or span such as +4h.", flag=False),
        option("start-at", None, "Date or span; default: now.", flag=False),
        option("from", None, "Version to empty.", flag=False),
        option("id", None, "Unique name of the move.", flag=False),
        option("replace", None, "Replace the pool's present move."),
        *COMMON_OPTIONS,
    )

    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the pools with the new move."""
        now_s = self.services.wall_s()
        to_version, finish_by = self.option("to"), self.option("finish-by")
        if not to_version or not finish_by:
            raise exceptions.UsageError(
                "the version or the date is not given",
                "Give --to VERSION and --finish-by DATE",
            )
        start_at = self.option("start-at")
        start_at_s = times.parse_time(start_at, now_s) if start_at else now_s
        plan = edits.MovePlan(
            pool=self.argument("pool"),
            move_id=self.option("id") or self._new_move_id(to_version),
            from_version=self.option("from"),
            to_version=to_version,
            start_at_s=start_at_s,
            finish_by_s=times.parse_time(finish_by, now_s),
            replace=self.option("replace"),
        )
        return edits.start(value, plan)

    def _new_move_id(self, to_version: str) -> str:
        return f"{to_version}-{self.services.new_id()[:8]}"


class MovePauseCommand(PoolEditCommand):
    """Keeps the share of a move as it is, or lets it go on."""

    name = "move pause"
    description = "Keeps the share of a move as it is; --off continues."
    options = (
        option("off", None, "Continue a paused move."),
        *COMMON_OPTIONS,
    )

    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the pools with the move paused or continued."""
        pool = self.argument("pool")
        if self.option("off"):
            return edits.resume(value, pool)
        return edits.pause(value, pool, self.services.wall_s())


class MoveTakeBackCommand(PoolEditCommand):
    """Gives all requests back to the old version."""

    name = "move take-back"
    description = "Gives all requests back to the old version at once."

    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the pools with the move taken back."""
        return edits.take_back(value, self.argument("pool"))


def _pools_error(
    error: tables.TableValidationError,
) -> exceptions.TableFaultsError:
    return exceptions.TableFaultsError(
        [f"tables/pools: {fault}" for fault in error.diagnostics],
        {
            "faults": [
                {
                    "path": fault.path,
                    "problem": fault.problem,
                    "hint": fault.hint,
                }
                for fault in error.diagnostics
            ]
        },
    )
