"""Status of a version move for operators."""

import dataclasses
import enum
from typing import Any


class MoveState(enum.Enum):
    """State of a move as one daemon sees it."""

    PLANNED = "planned"
    MOVING = "moving"
    AT_RISK = "at_risk"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStatus:
    """Status of a move for operators.

    Attributes:
        pool: Name of the pool.
        move_id: Id of the move.
        from_version: Old version, which the move drains.
        to_version: New version.
        state: State of the move.
        share: Share of new requests that this daemon sends to the new version,
            0 to 1.
        finish_by_s: Deadline of the move in Unix seconds.
        reason: Why the move is in this state.
        waiting_for: Daemons that have not reported the old version as drained,
            including unresponsive daemons.
    """

    pool: str
    move_id: str
    from_version: str
    to_version: str
    state: MoveState
    share: float
    finish_by_s: float
    reason: str
    waiting_for: tuple[str, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON form for `GET /status`."""
        fields = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        fields["state"] = self.state.value
        fields["waiting_for"] = list(self.waiting_for)
        return fields
