"""Exhaustive breadth-first search over the states of a specification.

Explicit search is used rather than a solver: within their bounds, the
specifications have a finite number of states, so the search visits all of them
at any depth, returns the shortest counterexample as a list of named steps, and
the step functions can also be run against the code.
"""

from collections.abc import Callable, Iterable
import dataclasses
from typing import Generic, TypeVar

S = TypeVar("S")


@dataclasses.dataclass(frozen=True)
class Result(Generic[S]):
    """Result of a search.

    Attributes:
        states: Number of different states visited.
        violation: Description of the violated invariant, or None.
        steps: Names of the steps to the violation, in order.
        final: State that violates the invariant, or None.
    """

    states: int
    violation: str | None
    steps: list[str]
    final: S | None


class StateLimitError(Exception):
    """The search reached its limit before it visited all states."""


def search(
    initial: S,
    successors: Callable[[S], Iterable[tuple[str, S]]],
    find_violation: Callable[[S], str | None],
    state_limit: int,
) -> Result[S]:
    """Visits every reachable state, breadth first, until a violation.

    Args:
        initial: First state.
        successors: Returns the names and next states of the steps from a
            state.
        find_violation: Describes the invariant that a state violates, or
            returns None.
        state_limit: Largest number of states.

    Raises:
        StateLimitError: There are more states; the result is inconclusive.
    """
    origin: dict[S, tuple[S, str] | None] = {initial: None}
    queue = [initial]
    for state in queue:
        for name, after in successors(state):
            if after in origin:
                continue
            origin[after] = (state, name)
            violation = find_violation(after)
            if violation is not None:
                steps = _steps_to(after, origin)
                return Result(len(origin), violation, steps, after)
            queue.append(after)
        if len(origin) > state_limit:
            raise StateLimitError(f"more than {state_limit} states")
    return Result(len(origin), None, [], None)


def _steps_to(state: S, origin: dict[S, tuple[S, str] | None]) -> list[str]:
    steps = []
    link = origin[state]
    while link is not None:
        state, name = link
        steps.append(name)
        link = origin[state]
    steps.reverse()
    return steps
