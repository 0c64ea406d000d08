"""Exhaustive breadth-first search over the states of a specification.

Explicit search is used rather than a solver: the specifications have finite
states within their bounds, so that the search visits all of them at any depth,
the shortest counterexample comes out as a list of named steps, and the step
functions can be run against the code.
"""

from collections.abc import Callable, Iterable
import dataclasses
from typing import Generic, TypeVar

S = TypeVar("S")


@dataclasses.dataclass(frozen=True)
class Result(Generic[S]):
    """What a search found.

    Attributes:
        states: Number of different states visited.
        broken: Name of the invariant that fails, or None.
        steps: Names of the steps to the failure, in order.
        final: State that breaks the invariant, or None.
    """

    states: int
    broken: str | None
    steps: list[str]
    final: S | None


class StateLimitError(Exception):
    """The search reached its limit before it had visited all states."""


def search(
    initial: S,
    successors: Callable[[S], Iterable[tuple[str, S]]],
    broken_invariant: Callable[[S], str | None],
    state_limit: int,
) -> Result[S]:
    """Visits every state that can be reached, shortest way first.

    Args:
        initial: First state.
        successors: Returns the named steps out of a state.
        broken_invariant: Returns the name of a broken invariant, or None.
        state_limit: Largest number of states.

    Raises:
        StateLimitError: There are more states; nothing is proved.
    """
    origin: dict[S, tuple[S, str] | None] = {initial: None}
    queue = [initial]
    for state in queue:
        for name, after in successors(state):
            if after in origin:
                continue
            origin[after] = (state, name)
            broken = broken_invariant(after)
            if broken is not None:
                steps = _steps_to(after, origin)
                return Result(len(origin), broken, steps, after)
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
