"""Compares a coordinator with a plain model in random event orders."""

import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import decode_server
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import places

PLACES = 3
MEMORY_TOKENS = 24000
PATIENCE_S = 2.0
ACCOUNTS = ('acme', 'borealis', 'cedar')
VMS = ('vm1', 'vm2')


class CoordinatorMachine(stateful.RuleBasedStateMachine):
    """Models queued and granted requests as plain dicts."""

    def __init__(self):
        super().__init__()
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)
        self.now_s = 0.0
        self.last_number = 0
        self.waiting_by_hold = {}
        self.granted_by_hold = {}
        self.incarnations_by_vm = dict.fromkeys(VMS, 1)
        self.sequence = 0
        self.present = ()

    def handle(self, event):
        for action in self.coordinator.handle(event, self.now_s):
            match action:
                case actions.Grant(hold=hold):
                    request, _ = self.waiting_by_hold.pop(hold)
                    assert {action.prefill, action.decode} <= set(self.present)
                    self.granted_by_hold[hold] = (request, action)
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
        request = places.placement_request(
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
        self.waiting_by_hold[request.hold] = (request, deadline_s)
        self.handle(request)

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
        old = places.hold_id(0, vm, self.incarnations_by_vm[vm]).owner
        self.incarnations_by_vm[vm] += 1
        for by_hold in (self.waiting_by_hold, self.granted_by_hold):
            for hold in tuple(by_hold):
                if hold.owner == old:
                    del by_hold[hold]
        self.handle(events.OwnersChanged(self.owners()))

    @stateful.rule()
    def take_over(self):
        """Rebuild the coordinator from duplicated reports of the owners."""
        self.coordinator = coordinator.Coordinator(
            ready_s=self.now_s + 0.01, max_booked_ahead=0
        )
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
            owner = places.hold_id(0, vm, self.incarnations_by_vm[vm]).owner
            numbers = frozenset(
                hold.number
                for hold in (*self.granted_by_hold, *self.waiting_by_hold)
                if hold.owner == owner
            )
            self.sequence += 1
            report = events.HoldsReported(
                owner, self.sequence, self.last_number + 1, numbers
            )
            self.perform(self.coordinator.handle(report, self.now_s))

    def teardown(self):
        """Check that all places are free when every hold is released."""
        for hold in (*self.waiting_by_hold, *self.granted_by_hold):
            self.coordinator.handle(events.PlaceReleased(hold), self.now_s)
        self.now_s += 100.0
        self.coordinator.handle(events.ServersChanged(()), self.now_s)
        self.change_servers(1)
        for number in range(PLACES):
            request = places.placement_request(
                10**6 + number, prompt_tokens=7000, account=f'probe-{number}'
            )
            decided = self.coordinator.handle(request, self.now_s + number)
            assert len(places.grants(decided)) == 1

    def perform(self, decided):
        for action in decided:
            match action:
                case actions.RequestAllocations(owner=owner, numbers=numbers):
                    allocations = tuple(
                        self.allocation(hold)
                        for hold in self.granted_by_hold
                        if hold.owner == owner and hold.number in numbers
                    )
                    self.handle(events.AllocationsRestored(allocations))
                case actions.Grant(hold=hold):
                    request, _ = self.waiting_by_hold.pop(hold)
                    self.granted_by_hold[hold] = (request, action)
                case actions.Refuse(hold=hold):
                    del self.waiting_by_hold[hold]

    def allocation(self, hold):
        request, grant = self.granted_by_hold[hold]
        return events.Allocation(
            hold,
            request.account,
            grant.prefill,
            grant.decode,
            request.prompt_tokens,
            request.output_tokens,
            request.isolation,
        )

    def owners(self):
        return tuple(
            places.hold_id(0, vm, incarnation).owner
            for vm, incarnation in self.incarnations_by_vm.items()
        )

    @stateful.invariant()
    def holds_equal_unreleased_grants(self):
        held = {allocation.hold for allocation in self.coordinator.allocations}
        assert held == set(self.granted_by_hold)
        assert self.coordinator.queue_length == len(self.waiting_by_hold)

    @stateful.invariant()
    def capacity_is_not_exceeded(self):
        counts = collections.Counter()
        pieces = collections.Counter()
        exclusive = set()
        for request, grant in self.granted_by_hold.values():
            counts[grant.decode] += 1
            tokens = request.prompt_tokens + request.output_tokens
            pieces[grant.decode] += decode_server.pieces_of(tokens)
            if request.isolation is events.Isolation.ALONE:
                exclusive.add(grant.decode)
        max_pieces = MEMORY_TOKENS // servers.DEFAULT_PIECE_TOKENS
        assert all(count <= PLACES for count in counts.values())
        assert all(count <= max_pieces for count in pieces.values())
        assert all(counts[server] == 1 for server in exclusive)

    @stateful.invariant()
    def no_request_waits_past_its_deadline(self):
        for _, deadline_s in self.waiting_by_hold.values():
            assert self.now_s <= deadline_s


CoordinatorMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)


class CoordinatorFuzzTests(CoordinatorMachine.TestCase):
    pass


class FairnessTests(unittest.TestCase):
    def test_granted_tokens_are_proportional_to_weights(self):
        """Accounts that always have a request queued share by weight."""
        weights = {'acme': 1.0, 'borealis': 2.0, 'cedar': 4.0}
        tested_coordinator = coordinator.Coordinator(max_booked_ahead=0)
        tested_coordinator.handle(places.servers_changed(places=4), 0.0)
        number = 0
        granted = collections.Counter()
        running = collections.deque()
        sizes = {'acme': 3000, 'borealis': 500, 'cedar': 1500}
        now_s = 0.0
        waiting = {}
        for account in weights:
            number += 1
            waiting[number] = account
        for first_number in list(waiting):
            running += places.grants(
                tested_coordinator.handle(
                    self.placement_request(
                        first_number, waiting, sizes, weights
                    ),
                    0.0,
                )
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
                    tested_coordinator.handle(
                        self.placement_request(
                            number, waiting, sizes, weights
                        ),
                        now_s,
                    )
                )
            while running and running[0].call in waiting:
                grant = running.popleft()
                account = waiting.pop(grant.call)
                granted[account] += sizes[account]
                running += places.grants(
                    tested_coordinator.handle(
                        events.PlaceReleased(grant.hold), now_s
                    )
                )
                break
        shares = {a: granted[a] / weights[a] for a in weights}
        spread = max(shares.values()) - min(shares.values())
        self.assertLessEqual(spread, 4 * max(sizes.values()))

    def placement_request(self, number, waiting, sizes, weights):
        account = waiting[number]
        return places.placement_request(
            number,
            account=account,
            weight=weights[account],
            prompt_tokens=sizes[account] - 200,
            patience_s=1e6,
            first_token_s=1e6,
        )


if __name__ == '__main__':
    unittest.main()
