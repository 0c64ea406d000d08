"""How facts and reports on members are learned, refuted and passed on."""

import dataclasses

from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import state as peer_state
from rattanpulley_core._internal.peers import streams

# Time for a suspected member to refute before it counts as dead.
SUSPICION_TIMEOUT_S = 5.0
# Longer than the hour for which regions lose each other now and then, so that
# a report from the other side of a partition does not revive a dead member.
TOMBSTONE_TTL_S = 6 * 3600.0
RECONCILE_INTERVAL_S = 10.0
# With more streams than this, bulky facts go only to the peers that this daemon
# chose. The rings and the links between failure domains still reach everyone,
# at half the bytes.
FULL_FLOOD_STREAMS = 6

_GONE = (members.MemberState.DEAD, members.MemberState.LEFT)
Actions = peer_state.Actions


class Dissemination:
    """Learns facts, spreads the new ones and reconciles what was lost."""

    def __init__(self, state: peer_state.PeerState) -> None:
        self._state = state
        self._reconcile_due_s = 0.0

    def expire_facts(self, now_s: float) -> Actions:
        """Forgets facts whose time is over."""
        for fact in self._state.fact_table.expire(now_s):
            if fact.kind is facts.FactKind.MEMBER:
                self._state.peer_table.remove(fact.key)
        return []

    def end_suspicions(self, now_s: float) -> Actions:
        """Reports suspects as dead whose time to refute is over."""
        actions: Actions = []
        for row in self._state.peer_table:
            suspect = row.member.state is members.MemberState.SUSPECT
            if suspect and now_s - row.since_s > SUSPICION_TIMEOUT_S:
                actions += self.report(
                    row.member, members.MemberState.DEAD, now_s
                )
        return actions

    def reconcile(self, now_s: float) -> Actions:
        """Compares facts with one peer, for facts that a stream lost."""
        rows = self._state.stream_table.open_rows()
        if now_s < self._reconcile_due_s or not rows:
            return []
        self._reconcile_due_s = now_s + RECONCILE_INTERVAL_S
        row = self._state.rng.choice(rows)
        request = messages.FactsRequest(self._state.fact_table.digests())
        return [messages.Send(row.stream_id, request)]

    def on_facts(
        self, row: streams.StreamRow, message: messages.Facts, now_s: float
    ) -> Actions:
        """Learns facts and passes the new ones on."""
        actions: Actions = []
        learned: list[facts.Fact] = []
        for received in message.facts:
            fact = facts.from_wire(received, now_s)
            accepted, follow_up = self._learn(fact, now_s)
            actions += follow_up
            if accepted:
                learned.append(fact)
        return actions + self._spread(learned, now_s, except_to=row.stream_id)

    def _learn(self, fact: facts.Fact, now_s: float) -> tuple[bool, Actions]:
        about_member = fact.kind is facts.FactKind.MEMBER
        if about_member and fact.key == self._state.own.name:
            return False, self._refute(fact, now_s)
        member = None
        if about_member:
            try:
                member = members.decode_member(
                    fact.key, fact.version, fact.value
                )
            except members.MemberFormatError:
                self._state.counters.malformed_facts += 1
                return False, []
        result = self._state.fact_table.merge(fact)
        self._state.counters.count_fact(result)
        if result is not facts.MergeResult.NEW:
            return False, []
        if member is None:
            return True, [messages.FactLearned(fact)]
        self._state.peer_table.update(member, now_s)
        return True, [messages.MemberChanged(member)]

    def _refute(self, fact: facts.Fact, now_s: float) -> Actions:
        """Answers a report that this daemon is gone, or an old self of it."""
        if fact.version <= self._state.own.version:
            return []
        self._state.counters.refutations += 1
        incarnation = fact.version // members.RANKS_PER_INCARNATION + 1
        self._state.own = dataclasses.replace(
            self._state.own, incarnation=incarnation
        )
        own_fact = self._state.own_fact()
        self._state.fact_table.merge(own_fact)
        return self._spread([own_fact], now_s)

    def report(
        self,
        member: members.Member,
        state: members.MemberState,
        now_s: float,
    ) -> Actions:
        """States that a member is suspect or dead."""
        changed = dataclasses.replace(member, state=state)
        expires_s = now_s + TOMBSTONE_TTL_S if state in _GONE else None
        fact = facts.Fact(
            facts.FactKind.MEMBER,
            member.name,
            changed.version,
            changed.encode(),
            expires_s,
        )
        accepted, actions = self._learn(fact, now_s)
        return actions + self._spread([fact] if accepted else [], now_s)

    def on_leaving(self, event: messages.Leaving, now_s: float) -> Actions:
        """Tells the peers that this daemon stops."""
        left = dataclasses.replace(
            self._state.own, state=members.MemberState.LEFT
        )
        # Its own table says so too; otherwise it would refute the report when
        # a peer passes it on.
        self._state.own = left
        fact = dataclasses.replace(
            self._state.own_fact(), expires_s=now_s + TOMBSTONE_TTL_S
        )
        self._state.fact_table.merge(fact)
        return self._spread([fact], now_s)

    def on_fact_published(
        self, event: messages.FactPublished, now_s: float
    ) -> Actions:
        """Spreads a fact of this daemon."""
        expires_s = (
            None
            if event.time_to_live_s is None
            else now_s + event.time_to_live_s
        )
        fact = facts.Fact(
            event.kind, event.key, event.version, event.value, expires_s
        )
        result = self._state.fact_table.merge(fact)
        is_new = result is facts.MergeResult.NEW
        return self._spread([fact] if is_new else [], now_s)

    def on_facts_request(
        self,
        row: streams.StreamRow,
        request: messages.FactsRequest,
        now_s: float,
    ) -> Actions:
        """Sends the facts that the peer's digests lack."""
        differing = self._state.fact_table.differing(request.digests)
        return [
            messages.Send(row.stream_id, self._message_of(chunk, now_s))
            for chunk in facts.chunks(differing)
        ]

    def _spread(
        self,
        learned: list[facts.Fact],
        now_s: float,
        except_to: int | None = None,
    ) -> Actions:
        """Passes new facts on, bulky ones on fewer streams."""
        rows = [
            row
            for row in self._state.stream_table.open_rows()
            if row.stream_id != except_to
        ]
        bulky_kinds = facts.BULKY_KINDS
        bulky = [fact for fact in learned if fact.kind in bulky_kinds]
        others = [fact for fact in learned if fact.kind not in bulky_kinds]
        actions = self._send_all(others, rows, now_s)
        if len(rows) > FULL_FLOOD_STREAMS:
            rows = [row for row in rows if row.address is not None]
        return actions + self._send_all(bulky, rows, now_s)

    def _send_all(
        self,
        sent: list[facts.Fact],
        rows: list[streams.StreamRow],
        now_s: float,
    ) -> Actions:
        return [
            messages.Send(row.stream_id, self._message_of(chunk, now_s))
            for chunk in facts.chunks(sent)
            for row in rows
        ]

    def _message_of(
        self, chunk: list[facts.Fact], now_s: float
    ) -> messages.Facts:
        return messages.Facts(
            tuple(facts.to_wire(fact, now_s) for fact in chunk)
        )

    def on_heartbeat(
        self,
        row: streams.StreamRow,
        heartbeat: messages.Heartbeat,
        now_s: float,
    ) -> Actions:
        """Tells a peer that counts as suspect or dead, so that it refutes."""
        held = self._state.fact_table.get(facts.FactKind.MEMBER, row.peer_name)
        if held is None:
            return []
        incarnation, rank = divmod(held.version, members.RANKS_PER_INCARNATION)
        if rank == members.MemberState.ALIVE:
            return []
        if incarnation < heartbeat.incarnation:
            return []
        return [messages.Send(row.stream_id, self._message_of([held], now_s))]
