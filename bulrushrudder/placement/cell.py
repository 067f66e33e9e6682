"""The coordinator of a cell: which servers, when, and for whom."""

import collections
import dataclasses
import math

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.placement import actions
from bulrushrudder.placement import balance
from bulrushrudder.placement import choice
from bulrushrudder.placement import decodes
from bulrushrudder.placement import demand
from bulrushrudder.placement import events
from bulrushrudder.placement import fair_queue
from bulrushrudder.placement import prefills

MOST_AHEAD = 6
MOST_HEADS = 8
LEAST_SHARE = 0.5
AMPLE = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """What a grant holds, and for whom.

    :param decode_s: monotonic seconds at which decoding should begin,
        None where another coordinator granted it.
    """

    holding: events.Holding
    decode: decodes.DecodeHold | None
    decode_s: float | None


class Cell:
    """Places on the servers of one model, and the queue before them.

    :param ready_s: monotonic seconds before which nothing is granted,
        since owners still report what they hold.
    :param most_ahead: places that may be booked ahead on a server.
    """

    def __init__(self, ready_s=0.0, most_ahead=MOST_AHEAD):
        self._ready_s = ready_s
        self._queue = fair_queue.FairQueue()
        self._prefills = prefills.Prefills()
        self._decodes = decodes.Decodes(most_ahead)
        self._held_by_hold = {}
        self._holds_by_absent_server = collections.defaultdict(set)
        self._holds_by_owner = collections.defaultdict(set)
        self._demand = demand.Demand()
        self._balance = balance.Demand()
        self._held_by_account = collections.Counter()
        self._reports_by_owner = {}
        self._seen_owners = {}
        self._drained_by_hold = {}

    @property
    def waiting(self):
        """Return how many questions wait."""
        return len(self._queue)

    @property
    def calls(self):
        """Return the calls of all that wait."""
        return self._queue.calls()

    @property
    def holdings(self):
        """Return all Holdings."""
        return tuple(held.holding for held in self._held_by_hold.values())

    def wanted_prefills(self):
        """Return how many servers should prefill; None to let it be."""
        work = self._balance.work
        if work is None:
            return None
        prefills = sum(k.present for k in self._prefills.by_id.values())
        decodes = sum(k.present for k in self._decodes.by_id.values())
        return balance.wanted(work, prefills, decodes)

    def handle(self, event, now_s):
        """Take an event and return the actions that follow.

        :param now_s: monotonic seconds.
        """
        found = self._take_in(event, now_s)
        return [*found, *self._serve(now_s)]

    def _take_in(self, event, now_s):
        match event:
            case events.PlaceAsked():
                self._ask(event, now_s)
            case events.PlaceReleased(hold=hold):
                self._learn(event, now_s)
                self._release(hold, now_s)
            case events.ServersChanged(servers=servers):
                self._change_servers(servers, now_s)
            case events.LoadReported():
                self._prefills.reported(event)
                self._decodes.reported(event)
            case events.CacheChanged():
                self._prefills.prefixes.changed(event)
            case events.HoldsReported():
                return self._compare(event, now_s)
            case events.HoldingsRestored(holdings=holdings):
                self._restore(holdings, now_s)
            case events.OwnersChanged(owners=owners):
                self._change_owners(owners, now_s)
            case events.Ticked():
                pass
            case _:
                raise AssertionError(f'unknown event {event!r}')
        return []

    def _ask(self, asked, now_s):
        self._holds_by_owner[asked.hold.owner].add(asked.hold)
        tokens = asked.prompt_tokens + asked.output_tokens
        self._demand.asked(asked.account, asked.weight, tokens, now_s)
        self._note_work(asked)
        self._queue.add(asked, now_s, self._lead_s(asked))

    def _note_work(self, asked):
        """Take in what a request will take of each kind of server."""
        prefill_s = self._prefills.work_s(asked)
        decode_s = self._decodes.work_s(asked)
        if prefill_s is not None and decode_s is not None:
            self._balance.add(balance.Work(prefill_s, decode_s))

    def _lead_s(self, asked):
        """Return the seconds to expect from a grant to the first token."""
        if self._prefills.any_present(asked.excluded):
            return self._prefills.lead_s(asked)
        return prefills.FIRST_TOKEN_S + self._decodes.lead_s(asked)

    def _learn(self, event, now_s):
        """Take in how fast the servers of a request were, and how good."""
        held = self._held_by_hold.get(event.hold)
        if held is None:
            return
        holding = held.holding
        if event.prefill_s > 0:
            self._prefills.measured(
                holding.prefill, holding.prompt_tokens, event.prefill_s
            )
        if event.token_s > 0:
            self._decodes.measured(holding.decode, event.token_s)
        if event.verdict is not events.Verdict.UNKNOWN:
            failed = event.verdict is events.Verdict.FAILED
            self._decodes.judged(holding.decode, failed, now_s)

    def _release(self, hold, now_s):
        self._holds_by_owner[hold.owner].discard(hold)
        self._drained_by_hold.pop(hold, None)
        self._queue.remove(hold)
        held = self._held_by_hold.pop(hold, None)
        if held is None:
            return
        self._held_by_account[held.holding.account] -= 1
        if self._held_by_account[held.holding.account] == 0:
            del self._held_by_account[held.holding.account]
        if held.decode is not None:
            self._decodes.release(held.decode, _held_s(held, now_s))
        else:
            self._forget_absent(held.holding.decode, hold)

    def _change_servers(self, servers, now_s):
        by_id = {server.id: server for server in servers}
        for pool, kind in (
            (self._prefills, 'prefill'),
            (self._decodes, 'decode'),
        ):
            for known in list(pool.by_id.values()):
                found = by_id.get(known.server.id)
                if found is None or found.kind != kind:
                    pool.leave(known.server.id)
            for server in servers:
                known = pool.by_id.get(server.id)
                if server.kind == kind and not _is_known(known, server):
                    pool.join(server)
                    self._take_restored(server.id, now_s)

    def _compare(self, event, now_s):
        last = self._reports_by_owner.get(event.owner, -1)
        if event.sequence <= last:
            return []
        self._reports_by_owner[event.owner] = event.sequence
        known = set()
        for hold in tuple(self._holds_by_owner[event.owner]):
            if hold.number < event.below and hold.number not in event.numbers:
                self._release(hold, now_s)
            known.add(hold.number)
        unknown = event.numbers - known
        if not unknown:
            return []
        return [actions.AskHoldings(event.owner, tuple(sorted(unknown)))]

    def _restore(self, holdings, now_s):
        for holding in holdings:
            if holding.hold not in self._held_by_hold:
                self._queue.remove(holding.hold)
                self._hold(holding, float('inf'), None, now_s)

    def _forget_absent(self, server_id, hold):
        holds = self._holds_by_absent_server[server_id]
        holds.discard(hold)
        if not holds:
            del self._holds_by_absent_server[server_id]

    def _take_restored(self, server_id, now_s):
        """Count what was restored while its decode server was away."""
        for hold in self._holds_by_absent_server.pop(server_id, ()):
            held = self._held_by_hold[hold]
            self._hold(held.holding, float('inf'), held.decode_s, now_s)

    def _hold(self, holding, between_tokens_s, decode_s, now_s):
        known = self._decodes.by_id.get(holding.decode)
        taken = None
        if known is None:
            self._holds_by_absent_server[holding.decode].add(holding.hold)
        else:
            # The age stands for the time since decoding began; the
            # prefill before it was short.
            begins_s = decode_s or now_s - holding.age_s
            taken = self._decodes.take(
                known, holding, between_tokens_s, begins_s
            )
        if holding.hold not in self._held_by_hold:
            self._held_by_account[holding.account] += 1
        held = _Held(holding, taken, decode_s)
        self._held_by_hold[holding.hold] = held
        self._holds_by_owner[holding.hold.owner].add(holding.hold)

    def _change_owners(self, owners, now_s):
        incarnations_by_vm = {o.vm: o.incarnation for o in owners}
        for owner in tuple(self._holds_by_owner):
            current = incarnations_by_vm.get(owner.vm)
            gone = current is None and owner in self._seen_owners
            if gone or (current or 0) > owner.incarnation:
                self._forget(owner, now_s)
        self._seen_owners = dict.fromkeys(owners)

    def _forget(self, owner, now_s):
        for hold in tuple(self._holds_by_owner[owner]):
            self._release(hold, now_s)
        del self._holds_by_owner[owner]
        self._reports_by_owner.pop(owner, None)

    def _serve(self, now_s):
        found = [
            self._refuse(waiting, outcomes.Reason.NO_SERVER)
            for waiting in self._queue.expired(now_s)
        ]
        self._queue.demote(now_s)
        if now_s < self._ready_s:
            return found
        while True:
            action = self._serve_one(now_s)
            if action is None:
                return found
            found.append(action)

    def _serve_one(self, now_s):
        """Serve the first question that can be, if any.

        A class is served only when none of an earlier class waits for
        servers; those that are held back for flooding do not count.
        """
        claimed = frozenset(self._drained_by_hold.values())
        for standing in fair_queue.Standing:
            held_up = False
            for waiting in self._queue.heads(standing, MOST_HEADS):
                flooding = self._is_flooding(waiting.asked.account)
                action = self._try(waiting, flooding, claimed, now_s)
                match action:
                    case actions.Grant() | actions.Refuse():
                        return action
                    case choice.Blocked(claimed=str(server)):
                        claimed |= {server}
                held_up = held_up or not flooding
            if held_up:
                return None
        return None

    def _try(self, waiting, flooding, claimed, now_s):
        asked = waiting.asked
        if asked.isolation is events.Isolation.ALONE:
            claimed = self._drain_for(asked, claimed)
        terms = choice.Terms(claimed=claimed)
        if flooding:
            terms = self._terms(claimed, now_s)
        if terms is None:
            return choice.Blocked()
        chosen = choice.choose(
            asked, self._prefills, self._decodes, terms, now_s
        )
        match chosen:
            case choice.Chosen(first_token_s=first_token_s):
                target_s = waiting.asked_s + asked.first_token_s
                reported = chosen.prefill and chosen.prefill.chosen.reported
                if reported and first_token_s > target_s:
                    return self._give_up(waiting)
                return self._grant(waiting, chosen, now_s)
        return choice.Blocked() if flooding else chosen

    def _drain_for(self, asked, claimed):
        """Keep one server for a request that runs alone.

        :returns: the servers that others claim.
        """
        if not self._drained_by_hold:
            candidates = self._decodes.candidates(asked.excluded)
            if candidates:
                emptiest = min(candidates, key=lambda known: known.held)
                self._drained_by_hold[asked.hold] = emptiest.server.id
        return claimed - {self._drained_by_hold.get(asked.hold)}

    def _is_flooding(self, account):
        """Return whether an account has enough and asks for far more."""
        if not self._demand.is_flooding(account):
            return False
        share = self._demand.share(account, self._decodes.places)
        return self._held_by_account[account] >= share * LEAST_SHARE

    def _terms(self, claimed, now_s):
        """Return what accounts that flood leave free, None for all."""
        pool = self._decodes
        reserve = self._demand.reserve(pool.places, pool.hold_s, now_s)
        free = pool.places - pool.held
        if free <= reserve:
            return None
        if free > reserve * AMPLE:
            return choice.Terms(claimed=claimed)
        a_server = reserve / max(1, len(pool.by_id))
        pieces = math.ceil(a_server * pool.large_pieces)
        return choice.Terms(pieces, claimed, 0.0)

    def _give_up(self, waiting):
        self._queue.remove(waiting.asked.hold)
        return self._refuse(waiting, outcomes.Reason.TARGET_UNREACHABLE)

    def _refuse(self, waiting, reason):
        hold = waiting.asked.hold
        self._drained_by_hold.pop(hold, None)
        self._holds_by_owner[hold.owner].discard(hold)
        return actions.Refuse(waiting.asked.call, hold, reason)

    def _grant(self, waiting, chosen, now_s):
        asked = waiting.asked
        self._drained_by_hold.pop(asked.hold, None)
        self._queue.grant(waiting)
        choice.book(chosen, self._prefills, asked)
        holding = events.Holding(
            asked.hold,
            asked.account,
            _id_of(chosen.prefill),
            chosen.decode.server.id,
            asked.prompt_tokens,
            asked.output_tokens,
            asked.isolation,
            asked.expected_tokens,
        )
        self._hold(holding, asked.between_tokens_s, chosen.transfer_s, now_s)
        return actions.Grant(
            asked.call, asked.hold, holding.prefill, holding.decode
        )


def _id_of(plan):
    """Return the id of a plan's server, empty where there is no plan."""
    return ids.ServerId('') if plan is None else plan.chosen.server.id


def _held_s(held, now_s):
    if held.decode_s is None:
        return None
    return max(0.0, now_s - held.decode_s)


def _is_known(known, server):
    return known is not None and known.server == server and known.present
