"""Change of a table that an operator requests."""

import dataclasses
from typing import Any

from rattanpulley_core import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a table requested by an operator.

    Attributes:
        kind: Kind of the table.
        value: The new table.
        expected_version: Version that the change is based on; 0 creates.
        who: Name of the operator.
        what: Command that makes the change.
        reason: Text given by the operator; may be empty.
    """

    kind: tables.TableKind
    value: Any
    expected_version: int
    who: str
    what: str
    reason: str
