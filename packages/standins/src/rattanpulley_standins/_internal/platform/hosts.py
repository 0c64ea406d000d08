"""Host list that shows changes of host states with a delay."""

from collections.abc import Mapping
import dataclasses
import re

STATES = ("live", "leaving", "absent")
KINDS = ("engine", "service")
_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Row of the host list; hosts in state `absent` are not listed."""

    name: str
    domain: str
    url: str
    kind: str
    version: str
    state: str = "live"

    def __post_init__(self) -> None:
        if not _NAME.fullmatch(self.name):
            raise ValueError(f"the host name {self.name!r} is not valid")
        if self.kind not in KINDS or self.state not in STATES:
            raise ValueError(
                f"the kind or state of host {self.name} is not valid"
            )


class LaggingHosts:
    """Host list whose changes become visible after a delay.

    Args:
        hosts: Rows that are visible from the start.
        lag_s: Delay until a change is visible, in seconds.
    """

    def __init__(self, hosts: list[Host], lag_s: float) -> None:
        rows = {host.name: host for host in hosts}
        self.lag_s = lag_s
        self._states: list[tuple[float, Mapping[str, Host]]] = [
            (float("-inf"), rows)
        ]

    def visible(self, now_s: float) -> list[Host]:
        """Returns the rows that are visible at `now_s`."""
        limit_s = now_s - self.lag_s
        while len(self._states) > 1 and self._states[1][0] <= limit_s:
            del self._states[0]
        rows = self._states[0][1].values()
        return [host for host in rows if host.state != "absent"]

    def set_state(self, name: str, state: str, now_s: float) -> Host:
        """Changes the state of a host.

        Raises:
            KeyError: The host does not exist.
            ValueError: The state is not one of `STATES`.
        """
        rows = dict(self._states[-1][1])
        rows[name] = dataclasses.replace(rows[name], state=state)
        self._states.append((now_s, rows))
        return rows[name]
