"""State that the modules of the peer part share, owned by one `PeerCore`."""

import collections
import random

from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import streams

Actions = list[messages.Action]


class PeerState:
    """The tables of one daemon's peer part.

    Attributes:
        own: This daemon with its current incarnation.
        rng: Source of randomness.
        peer_table: Members by name.
        fact_table: All facts held.
        stream_table: Open streams.
        counters: Counts by name.
    """

    def __init__(self, own: members.Member, rng: random.Random) -> None:
        self.own = own
        self.rng = rng
        self.peer_table = members.PeerTable()
        self.fact_table = facts.FactTable()
        self.stream_table = streams.StreamTable()
        self.counters: collections.Counter[str] = collections.Counter()
        self.fact_table.merge(self.own_fact())

    def own_fact(self) -> facts.Fact:
        """Returns the member fact about this daemon."""
        return facts.Fact(
            facts.FactKind.MEMBER,
            self.own.name,
            self.own.version,
            self.own.encode(),
            None,
        )
