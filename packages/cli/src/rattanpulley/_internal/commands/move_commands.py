"""Commands that edit version moves."""

import abc
from collections.abc import Sequence
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs import option as cleo_option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.documents import table_file
from rattanpulley._internal.moves import edits
from rattanpulley._internal.moves import times
from rattanpulley._internal.store import table_change
from rattanpulley._internal.store import table_reader
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
    """Reads the pools table, edits one move and applies the result."""

    arguments = (POOL_ARGUMENT,)
    options: ClassVar[Sequence[cleo_option.Option]] = COMMON_OPTIONS

    @abc.abstractmethod
    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the edited pools table."""

    def run_command(self) -> text.Output:
        """Returns the changed fields and the new version."""
        kind = tables.TableKind.POOLS
        stored = table_reader.read_table(self.store(), kind)
        try:
            if stored.version > 0:
                # The edit relies on the schema, so the table must be valid.
                tables.parse_pools(stored.value, stored.version)
            applied = self.writer().apply(self._change(stored))
        except tables.TableValidationError as error:
            raise table_file.stored_table_error(
                kind, error.diagnostics
            ) from error
        return table_views.change_output(kind, applied)

    def _change(self, stored: table_reader.StoredTable) -> table_change.Change:
        return table_change.Change(
            kind=stored.kind,
            value=self.edit(stored.value),
            expected_version=stored.version,
            who=self.operator_name(),
            what=f"{self.name} {self.argument('pool')}",
            reason=self.option("reason"),
        )


class MoveStartCommand(PoolEditCommand):
    """Plans a move of the requests of a pool to another version."""

    name = "move start"
    description = "Plans a move of the requests of a pool to another version."
    options = (
        option("to", None, "Version that receives the requests.", flag=False),
        option("finish-by", None, "Date, or duration such as +4h.", flag=False),
        option("start-at", None, "Date or duration; default: now.", flag=False),
        option("from", None, "Version that the requests leave.", flag=False),
        option("id", None, "Unique name of the move.", flag=False),
        option("replace", None, "Replace the current move of the pool."),
        *COMMON_OPTIONS,
    )

    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the pools table with the new move."""
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
    """Pauses a move at its current share, or resumes it."""

    name = "move pause"
    description = "Pauses a move at its current share; --off resumes it."
    options = (
        option("off", None, "Resume a paused move."),
        *COMMON_OPTIONS,
    )

    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the pools table with the move paused or resumed."""
        pool = self.argument("pool")
        if self.option("off"):
            return edits.resume(value, pool)
        return edits.pause(value, pool, self.services.wall_s())


class MoveTakeBackCommand(PoolEditCommand):
    """Returns all requests of a pool to the old version."""

    name = "move take-back"
    description = "Returns all requests to the old version at once."

    def edit(self, value: Any) -> dict[str, Any]:
        """Returns the pools table with the move taken back."""
        return edits.take_back(value, self.argument("pool"))
