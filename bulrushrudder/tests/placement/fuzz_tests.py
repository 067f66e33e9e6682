"""A cell against a simple oracle, in any order of events."""

import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.placement import actions
from bulrushrudder.placement import cell
from bulrushrudder.placement import decode_server
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import places

PLACES = 3
MEMORY_TOKENS = 24000
PATIENCE_S = 2.0
ACCOUNTS = ('acme', 'borealis', 'cedar')
VMS = ('vm1', 'vm2')


class CellMachine(stateful.RuleBasedStateMachine):
    """Keeps what was granted and not released in a plain dict."""

    def __init__(self):
        super().__init__()
        self.cell = cell.Cell(most_ahead=0)
        self.now_s = 0.0
        self.last_number = 0
        self.waiting_by_hold = {}
        self.granted_by_hold = {}
        self.incarnations_by_vm = dict.fromkeys(VMS, 1)
        self.sequence = 0
        self.present = ()

    def handle(self, event):
        for action in self.cell.handle(event, self.now_s):
            match action:
                case actions.Grant(hold=hold):
                    asked, _ = self.waiting_by_hold.pop(hold)
                    assert {action.prefill, action.decode} <= set(self.present)
                    self.granted_by_hold[hold] = (asked, action)
                case actions.Refuse(hold=hold):
                    del self.waiting_by_hold[hold]

    @stateful.initialize()
    def start(self):
        self.change_servers(2)

    @stateful.rule(decode_count=strategies.integers(0, 3))
    def change_servers(self, decode_count):
        changed = places.servers_changed(
            2, decode_count, places=PLACES, memory_tokens=MEMORY_TOKENS
        )
        self.present = tuple(server.id for server in changed.servers)
        self.handle(changed)

    @stateful.rule(
        account=strategies.sampled_from(ACCOUNTS),
        vm=strategies.sampled_from(VMS),
        tokens=strategies.sampled_from((100, 3000, 9000)),
        interactive=strategies.booleans(),
        isolation=strategies.sampled_from(events.Isolation),
    )
    def ask(self, account, vm, tokens, interactive, isolation):
        self.last_number += 1
        asked = places.asked(
            self.last_number,
            vm,
            self.incarnations_by_vm[vm],
            account=account,
            prompt_tokens=tokens,
            interactive=interactive,
            patience_s=PATIENCE_S,
            isolation=isolation,
        )
        deadline_s = self.now_s + PATIENCE_S
        self.waiting_by_hold[asked.hold] = (asked, deadline_s)
        self.handle(asked)

    @stateful.rule(data=strategies.data())
    def release(self, data):
        known = sorted({**self.waiting_by_hold, **self.granted_by_hold})
        if not known:
            return
        hold = data.draw(strategies.sampled_from(known))
        self.waiting_by_hold.pop(hold, None)
        self.granted_by_hold.pop(hold, None)
        self.handle(events.PlaceReleased(hold))
        self.handle(events.PlaceReleased(hold))

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0)))
    def wait(self, seconds):
        self.now_s += seconds
        self.handle(events.Ticked())

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def restart_owner(self, vm):
        self.handle(events.OwnersChanged(self.owners()))
        old = places.hold(0, vm, self.incarnations_by_vm[vm]).owner
        self.incarnations_by_vm[vm] += 1
        for by_hold in (self.waiting_by_hold, self.granted_by_hold):
            for hold in tuple(by_hold):
                if hold.owner == old:
                    del by_hold[hold]
        self.handle(events.OwnersChanged(self.owners()))

    @stateful.rule()
    def take_over(self):
        """Rebuild the cell from reports, out of order and doubled."""
        self.cell = cell.Cell(ready_s=self.now_s + 0.01, most_ahead=0)
        self.waiting_by_hold.clear()
        servers = places.servers_changed(
            2,
            len(self.present) - 2,
            places=PLACES,
            memory_tokens=MEMORY_TOKENS,
        )
        self.handle(servers)
        self.report()
        self.report()

    @stateful.rule()
    def report(self):
        for vm in VMS:
            owner = places.hold(0, vm, self.incarnations_by_vm[vm]).owner
            numbers = frozenset(
                hold.number
                for hold in (*self.granted_by_hold, *self.waiting_by_hold)
                if hold.owner == owner
            )
            self.sequence += 1
            report = events.HoldsReported(
                owner, self.sequence, self.last_number + 1, numbers
            )
            self.answer(self.cell.handle(report, self.now_s))

    def teardown(self):
        """Everything is to be free again once nothing is held."""
        for hold in (*self.waiting_by_hold, *self.granted_by_hold):
            self.cell.handle(events.PlaceReleased(hold), self.now_s)
        self.now_s += 100.0
        self.cell.handle(events.ServersChanged(()), self.now_s)
        self.change_servers(1)
        for number in range(PLACES):
            asked = places.asked(
                10**6 + number, prompt_tokens=7000, account=f'probe-{number}'
            )
            found = self.cell.handle(asked, self.now_s + number)
            assert len(places.grants(found)) == 1

    def answer(self, found):
        for action in found:
            match action:
                case actions.AskHoldings(owner=owner, numbers=numbers):
                    holdings = tuple(
                        self.holding(hold)
                        for hold in self.granted_by_hold
                        if hold.owner == owner and hold.number in numbers
                    )
                    self.handle(events.HoldingsRestored(holdings))
                case actions.Grant(hold=hold):
                    asked, _ = self.waiting_by_hold.pop(hold)
                    self.granted_by_hold[hold] = (asked, action)
                case actions.Refuse(hold=hold):
                    del self.waiting_by_hold[hold]

    def holding(self, hold):
        asked, grant = self.granted_by_hold[hold]
        return events.Holding(
            hold,
            asked.account,
            grant.prefill,
            grant.decode,
            asked.prompt_tokens,
            asked.output_tokens,
            asked.isolation,
        )

    def owners(self):
        return tuple(
            places.hold(0, vm, incarnation).owner
            for vm, incarnation in self.incarnations_by_vm.items()
        )

    @stateful.invariant()
    def holds_what_was_granted_and_not_released(self):
        held = {holding.hold for holding in self.cell.holdings}
        assert held == set(self.granted_by_hold)
        assert self.cell.waiting == len(self.waiting_by_hold)

    @stateful.invariant()
    def oversells_nothing(self):
        counts = collections.Counter()
        pieces = collections.Counter()
        alone = set()
        for asked, grant in self.granted_by_hold.values():
            counts[grant.decode] += 1
            tokens = asked.prompt_tokens + asked.output_tokens
            pieces[grant.decode] += decode_server.pieces_of(tokens)
            if asked.isolation is events.Isolation.ALONE:
                alone.add(grant.decode)
        most = MEMORY_TOKENS // servers.DEFAULT_PIECE_TOKENS
        assert all(count <= PLACES for count in counts.values())
        assert all(count <= most for count in pieces.values())
        assert all(counts[server] == 1 for server in alone)

    @stateful.invariant()
    def answers_by_the_deadline(self):
        for _, deadline_s in self.waiting_by_hold.values():
            assert self.now_s <= deadline_s


CellMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)


class CellFuzzTests(CellMachine.TestCase):
    pass


class FairnessTests(unittest.TestCase):
    def test_granted_tokens_follow_weights_within_one_request(self):
        """Accounts that always wait are served in step with weights."""
        weights = {'acme': 1.0, 'borealis': 2.0, 'cedar': 4.0}
        found = cell.Cell(most_ahead=0)
        found.handle(places.servers_changed(places=4), 0.0)
        number = 0
        granted = collections.Counter()
        running = collections.deque()
        sizes = {'acme': 3000, 'borealis': 500, 'cedar': 1500}
        now_s = 0.0
        waiting = {}
        for account in weights:
            number += 1
            waiting[number] = account
        for asked in list(waiting):
            running += places.grants(
                found.handle(self.asked(asked, waiting, sizes, weights), 0.0)
            )
        for _ in range(600):
            now_s += 1.0
            while len(waiting) < 36:
                number += 1
                account = min(
                    weights, key=lambda a: list(waiting.values()).count(a)
                )
                waiting[number] = account
                running += places.grants(
                    found.handle(
                        self.asked(number, waiting, sizes, weights), now_s
                    )
                )
            while running and running[0].call in waiting:
                grant = running.popleft()
                account = waiting.pop(grant.call)
                granted[account] += sizes[account]
                running += places.grants(
                    found.handle(events.PlaceReleased(grant.hold), now_s)
                )
                break
        shares = {a: granted[a] / weights[a] for a in weights}
        most = max(shares.values()) - min(shares.values())
        self.assertLessEqual(most, 4 * max(sizes.values()))

    def asked(self, number, waiting, sizes, weights):
        account = waiting[number]
        return places.asked(
            number,
            account=account,
            weight=weights[account],
            prompt_tokens=sizes[account] - 200,
            patience_s=1e6,
            first_token_s=1e6,
        )


if __name__ == '__main__':
    unittest.main()
