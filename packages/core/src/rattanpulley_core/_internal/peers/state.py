"""State that the modules of the peer part share, owned by one `PeerCore`."""

import dataclasses
import random

from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import streams

Actions = list[messages.Action]


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts since the start."""

    bad_proofs: int = 0
    connect_failures: int = 0
    facts_new: int = 0
    facts_known: int = 0
    facts_older: int = 0
    facts_contradicts: int = 0
    malformed_facts: int = 0
    malformed_tables: int = 0
    own_name_refused: int = 0
    own_pauses: int = 0
    refutations: int = 0
    silent_streams: int = 0
    unexpected_messages: int = 0

    def count_fact(self, result: facts.MergeResult) -> None:
        """Counts a received fact by what its merge did."""
        name = f"facts_{result.value}"
        setattr(self, name, getattr(self, name) + 1)


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
        self.counters = Counters()
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
