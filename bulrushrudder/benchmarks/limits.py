"""Compares rate limits across a fleet with baselines in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random
import sys

from bulrushrudder.benchmarks import report
from bulrushrudder.core import ids
from bulrushrudder.core import ranking
from bulrushrudder.documents import types
from bulrushrudder.limits import actions
from bulrushrudder.limits import authority
from bulrushrudder.limits import events
from bulrushrudder.limits import slices
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import messages
from bulrushrudder.protocol import token_messages
from bulrushrudder.state import accounts as account_rows
from bulrushrudder.state import sessions

SEED = 5
HOP_LATENCY_S = 0.001
COMMIT_LATENCY_S = 0.004
TICK_INTERVAL_S = 0.05
REQUEST_DURATION_S = 2.0
FRAME_HEADER_BYTES = 4
PATIENCE_S = 5.0
ENVIRONMENT = types.Environment.PRODUCTION


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of the workload.

    :param entry: number of the entry process that receives it.
    :param account: number of its client account.
    :param cost: tokens that it is charged.
    :param used_tokens: tokens that it uses; the rest is refunded.
    """

    at_s: float
    entry: int
    account: int
    cost: int
    used_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Requests in order of arrival, and their client accounts.

    :param entries: number of entry processes.
    :param warm_up_s: seconds after which messages are counted.
    """

    entries: int
    accounts: tuple[types.ClientAccount, ...]
    requests: tuple[Request, ...]
    seconds: float
    warm_up_s: float = 0.0

    @property
    def counted_requests(self):
        """Return the number of requests after the warm-up."""
        return sum(r.at_s >= self.warm_up_s for r in self.requests)


class Bucket:
    """A plain token bucket of one entry or of the whole fleet."""

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_s = 0.0

    def refill(self, now_s):
        """Add the tokens earned up to a time."""
        refilled = self.level + (now_s - self.updated_s) * self.rate
        self.level = min(self.burst, refilled)
        self.updated_s = now_s

    def take(self, tokens, now_s, patience_s):
        """Take tokens.

        :returns: the seconds until they are available, or None if
            refused.
        """
        self.refill(now_s)
        wait_s = max(0.0, (tokens - self.level) / self.rate)
        if tokens > self.burst or wait_s > patience_s:
            return None
        self.level -= tokens
        return wait_s

    def refund(self, tokens, now_s):
        """Put unused tokens back."""
        self.refill(now_s)
        self.level = min(self.burst, self.level + tokens)


class Result:
    """Waits, messages and grants over the limit of a workload.

    Grants over the limit are measured against one bucket per account.
    """

    def __init__(self, workload):
        self.workload = workload
        self.wait_s_by_number = {}
        self.round_trips = collections.Counter()
        self.messages = 0
        self.message_bytes = 0
        self.commits = 0
        self.commit_bytes = 0
        self.over_limit_tokens = 0.0
        self._buckets = [
            Bucket(account.rate, account.burst)
            for account in workload.accounts
        ]

    def record_grant(self, number, request, now_s):
        """Record a grant and charge it to the bucket of its account."""
        self.wait_s_by_number[number] = now_s - request.at_s
        bucket = self._buckets[request.account]
        bucket.refill(now_s)
        bucket.level -= request.cost
        if bucket.level < -1e-6:
            self.over_limit_tokens -= bucket.level
            bucket.level = 0.0

    def reset_message_counts(self):
        """Reset the counts of messages and commits."""
        self.messages = 0
        self.message_bytes = 0
        self.commits = 0
        self.commit_bytes = 0

    def record_refund(self, request, now_s):
        """Refund unused tokens to the bucket of the account."""
        bucket = self._buckets[request.account]
        bucket.refund(request.cost - request.used_tokens, now_s)


class Clock:
    """Runs calls in order of virtual time."""

    def __init__(self):
        self.now_s = 0.0
        self._order = itertools.count()
        self._events = []

    def at(self, at_s, call, *arguments):
        """Schedule a call at a virtual time."""
        heapq.heappush(
            self._events, (at_s, next(self._order), call, arguments)
        )

    def run(self):
        """Run until no call is scheduled."""
        while self._events:
            self.now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)


def run_token_buckets(workload, split, shared, round_trip_s):
    """Run a workload with a baseline of plain token buckets.

    :param split: divisor of each account's rate and burst.
    :param shared: whether all entries use one bucket of an account.
    :param round_trip_s: seconds to reach a bucket, 0 if it is local.
    """
    clock = Clock()
    result = Result(workload)
    buckets = {}

    def arrive(number, request):
        key = (request.account, None if shared else request.entry)
        account = workload.accounts[request.account]
        if key not in buckets:
            buckets[key] = Bucket(account.rate / split, account.burst / split)
        wait_s = buckets[key].take(request.cost, clock.now_s, PATIENCE_S)
        result.round_trips[1 if round_trip_s else 0] += 1
        if wait_s is None:
            return
        clock.at(
            clock.now_s + wait_s + round_trip_s, start, number, request, key
        )

    def start(number, request, key):
        result.record_grant(number, request, clock.now_s)
        clock.at(clock.now_s + REQUEST_DURATION_S, end, request, key)

    def end(request, key):
        unused = request.cost - request.used_tokens
        buckets[key].refund(unused, clock.now_s)
        result.record_refund(request, clock.now_s)

    for number, request in enumerate(workload.requests):
        clock.at(request.at_s, arrive, number, request)
    clock.run()
    if round_trip_s:
        result.messages = 3 * workload.counted_requests
    return result


class Fleet:
    """Entry processes with their authorities and slices."""

    def __init__(self, workload):
        self.workload = workload
        self.result = Result(workload)
        self.clock = Clock()
        self._table = account_rows.Accounts(sessions.Sessions())
        self._index = 0
        self._accounts_by_id = {a.id: a for a in workload.accounts}
        vms = [ids.VmId(f'vm{n}') for n in range(workload.entries)]
        self._owners = [ids.Owner(vm, 1) for vm in vms]
        self._vms = tuple(vms)
        self._authorities = [authority.Authority(o) for o in self._owners]
        self._slices_by_entry = [slices.Slices() for _ in vms]
        self._pending_by_request = {}
        self._number_by_vm = {vm: n for n, vm in enumerate(vms)}
        self._ticking = set()
        self._authority_by_account = {
            a.id: self._number_by_vm[ranking.choose(authority.role(a.id), vms)]
            for a in workload.accounts
        }

    def run(self):
        """Run the workload and return its Result."""
        for number, request in enumerate(self.workload.requests):
            self.clock.at(request.at_s, self._arrive, number, request)
        self.clock.at(
            self.workload.warm_up_s, self.result.reset_message_counts
        )
        self.clock.run()
        return self.result

    def _log_view(self, entry):
        return authority.LogView(
            ENVIRONMENT,
            self.clock.now_s,
            self._table.by_key,
            self._accounts_by_id,
            self._vms,
        )

    def _arrive(self, number, request):
        account = self.workload.accounts[request.account]
        entry_slices = self._slices_by_entry[request.entry]
        now_s = self.clock.now_s
        for refund in entry_slices.sweep(self._accounts_by_id, now_s):
            self._refund(request.entry, refund)
        charge = entry_slices.take(account, request.cost, now_s)
        if charge is not None:
            self.result.round_trips[0] += 1
            self._start(number, request, charge)
            return
        token_request = ids.TokenRequestId(self._owners[request.entry], number)
        slice_tokens_wanted = entry_slices.slice_tokens_wanted(
            account.id, request.cost, now_s
        )
        self._pending_by_request[token_request] = number, request
        message = token_messages.TokenRequest(
            token_request,
            account.id,
            request.cost,
            slice_tokens_wanted,
            PATIENCE_S,
        )
        event = events.TokensRequested(
            token_request,
            account.id,
            request.cost,
            slice_tokens_wanted,
            now_s + PATIENCE_S,
        )
        remote = self._send(request.entry, account.id, message, event, True)
        self.result.round_trips[1 if remote else 0] += 1

    def _send(self, entry, account, message, event, is_request):
        target = self._authority_by_account[account]
        remote = target != entry
        if remote:
            self._count_message(message, is_request)
        delay_s = HOP_LATENCY_S if remote else 0.0
        self.clock.at(self.clock.now_s + delay_s, self._handle, target, event)
        return remote

    def _count_message(self, message, is_request):
        data = codec.encode(message)
        if is_request:
            data = codec.encode(messages.Request(1, data))
        self.result.messages += 1
        self.result.message_bytes += len(data) + FRAME_HEADER_BYTES

    def _handle(self, target, event):
        handled = self._authorities[target].handle(
            event, self._log_view(target), self.clock.now_s
        )
        for action in handled:
            self._perform(target, action)
        if target not in self._ticking:
            self._ticking.add(target)
            self.clock.at(
                self.clock.now_s + TICK_INTERVAL_S, self._tick, target
            )

    def _tick(self, target):
        self._ticking.discard(target)
        if self.clock.now_s < self.workload.seconds + PATIENCE_S:
            self._handle(target, events.Ticked())

    def _perform(self, target, action):
        match action:
            case actions.Propose(command=command):
                self.result.commits += 1
                self.result.commit_bytes += len(codec.encode(command))
                at_s = self.clock.now_s + COMMIT_LATENCY_S
                self.clock.at(at_s, self._commit, target, command)
            case actions.Grant(token_request=token_request):
                self._deliver_grant(target, token_request, action)
            case actions.Refuse(token_request=token_request):
                self._pending_by_request.pop(token_request)

    def _commit(self, target, command):
        self._index += 1
        self._table.apply(self._index, command)
        self._handle(target, events.Ticked())

    def _deliver_grant(self, target, token_request, grant):
        number, request = self._pending_by_request.pop(token_request)
        remote = target != request.entry
        if remote:
            self._count_message(
                token_messages.TokensGranted(
                    *(getattr(grant, f.name) for f in _GRANT_FIELDS)
                ),
                True,
            )
        at_s = self.clock.now_s + (HOP_LATENCY_S if remote else 0.0)
        self.clock.at(at_s, self._granted, number, request, grant)

    def _granted(self, number, request, grant):
        entry_slices = self._slices_by_entry[request.entry]
        if grant.slice_tokens:
            for refund in entry_slices.put(grant, request.at_s):
                self._refund(request.entry, refund)
        charge = slices.Charge(
            grant.account,
            grant.epoch,
            grant.token_request,
            grant.tokens,
            False,
        )
        self._start(number, request, charge)

    def _start(self, number, request, charge):
        self.result.record_grant(number, request, self.clock.now_s)
        at_s = self.clock.now_s + REQUEST_DURATION_S
        self.clock.at(at_s, self._end, request, charge)

    def _end(self, request, charge):
        unused = request.cost - request.used_tokens
        refund = self._slices_by_entry[request.entry].refund(
            charge, unused, self.clock.now_s
        )
        self.result.record_refund(request, self.clock.now_s)
        if refund is not None:
            self._refund(request.entry, refund)

    def _refund(self, entry, refund):
        message = token_messages.RefundTokens(
            refund.token_request,
            refund.account,
            refund.epoch,
            refund.number,
            refund.tokens,
            refund.closes,
        )
        event = events.TokensRefunded(
            refund.token_request,
            refund.account,
            refund.epoch,
            refund.number,
            refund.tokens,
            refund.closes,
        )
        self._send(entry, refund.account, message, event, False)


_GRANT_FIELDS = dataclasses.fields(token_messages.TokensGranted)


def small_workload(seconds=60.0):
    """Return 9 entries and 5 accounts, one at five times its rate.

    :param seconds: seconds for which requests arrive.
    """
    shares = (0.7, 0.7, 0.7, 0.7, 5.0)
    rates = (2000.0, 1500.0, 800.0, 400.0, 1000.0)
    return _workload(9, rates, shares, seconds, home_probability=0.6)


def large_workload(seconds=35.0, warm_up_s=25.0):
    """Return 400 entries and 17,000 accounts, 3,200 requests per second.

    :param seconds: seconds for which requests arrive.
    :param warm_up_s: seconds after which messages are counted.
    """
    rates = (100.0,) * 17000
    share = 3200 / 17000 * _MEAN_COST / 100.0
    shares = (share,) * len(rates)
    workload = _workload(400, rates, shares, seconds, home_probability=0.0)
    return dataclasses.replace(workload, warm_up_s=warm_up_s)


_MEAN_COST = 350


def _workload(entries, rates, shares, seconds, home_probability):
    rng = random.Random(SEED)
    accounts = tuple(
        types.ClientAccount(
            ids.AccountId(f'account-{n}'), rate, int(rate * 20), 1.0, ()
        )
        for n, rate in enumerate(rates)
    )
    requests = []
    for number, (rate, share) in enumerate(zip(rates, shares, strict=True)):
        home = rng.randrange(entries)
        at_s = rng.expovariate(rate * share / _MEAN_COST)
        while at_s < seconds:
            entry = rng.randrange(entries)
            if rng.random() < home_probability:
                entry = home
            cost = rng.randint(200, 500)
            used_tokens = rng.randint(cost // 2, cost)
            requests.append(Request(at_s, entry, number, cost, used_tokens))
            at_s += rng.expovariate(rate * share / _MEAN_COST)
    requests.sort(key=lambda request: request.at_s)
    return Workload(entries, accounts, tuple(requests), seconds)


COLUMNS = (
    report.Column('way'),
    report.Column('over the limit', 'tokens'),
    report.Column('refused, one bucket grants', 'requests'),
    report.Column('of them of calm accounts', 'requests'),
    report.Column('added p50', 'ms'),
    report.Column('added p99', 'ms'),
    report.Column('round trips p50'),
    report.Column('round trips p99'),
    report.Column('messages a request'),
    report.Column('bytes a request', 'B'),
    report.Column('commits a request'),
    report.Column('bytes a node', 'B/s'),
    report.Column('rows to each observer', 'B/s'),
)


def result_row(name, result, ideal, over_rate_accounts):
    """Return the table row of a way to limit.

    :param ideal: the Result of one bucket without latency.
    :param over_rate_accounts: numbers of the accounts that send above
        their rate.
    """
    requests = result.workload.requests
    wrongly_refused = [
        n for n in ideal.wait_s_by_number if n not in result.wait_s_by_number
    ]
    wrongly_refused_inside_rate = [
        n
        for n in wrongly_refused
        if requests[n].account not in over_rate_accounts
    ]
    added = sorted(
        1000 * max(0.0, result.wait_s_by_number[n] - ideal.wait_s_by_number[n])
        for n in result.wait_s_by_number
        if n in ideal.wait_s_by_number
    )
    round_trips = sorted(result.round_trips.elements())
    workload = result.workload
    count = workload.counted_requests
    seconds = workload.seconds - workload.warm_up_s
    both_ends = 2 * result.message_bytes + result.commit_bytes
    return (
        name,
        round(result.over_limit_tokens),
        len(wrongly_refused),
        len(wrongly_refused_inside_rate),
        _percentile(added, 0.5),
        _percentile(added, 0.99),
        _percentile(round_trips, 0.5),
        _percentile(round_trips, 0.99),
        result.messages / count,
        result.message_bytes / count,
        result.commits / count,
        both_ends / workload.entries / seconds,
        result.commit_bytes / seconds,
    )


def _percentile(values, share):
    if not values:
        return '-'
    return values[min(len(values) - 1, int(share * len(values)))]


def table(title, workload, over_rate_accounts=()):
    """Return a table of all ways to limit a workload."""
    ideal = run_token_buckets(workload, 1, True, 0.0)
    result_by_way = (
        ('authority', Fleet(workload).run()),
        (
            'even split',
            run_token_buckets(workload, workload.entries, False, 0.0),
        ),
        ('each alone', run_token_buckets(workload, 1, False, 0.0)),
        (
            'central check',
            run_token_buckets(workload, 1, True, 2 * HOP_LATENCY_S),
        ),
    )
    rows = tuple(
        result_row(name, result, ideal, over_rate_accounts)
        for name, result in result_by_way
    )
    return report.Table(title, COLUMNS, rows)


COST_COLUMNS = (
    report.Column('bytes a token'),
    report.Column('way'),
    report.Column('not charged', 'tokens'),
    report.Column('refused', 'requests'),
)
COST_TOKENS_PER_S = 4000.0
COST_BURST_TOKENS = 80000
COST_DURATION_S = 600.0
PREFILL_DURATION_S = 0.5
DECODE_DURATION_S = 20.0
OUTPUT_TOKENS = 300


def cost_table():
    """Return a table of ways to charge prompts.

    One account sends at 80% of its rate.
    """
    rows = tuple(
        (
            bytes_per_token,
            name,
            *_charge_prompts(
                bytes_per_token, bytes_per_charged_token, refund_delay_s
            ),
        )
        for bytes_per_token in (1.5, 2.2, 4.2)
        for name, bytes_per_charged_token, refund_delay_s in (
            ('estimate of 4 bytes a token', 4.0, None),
            ('bound, returned at the end', 1.0, DECODE_DURATION_S),
            ('bound, returned when counted', 1.0, PREFILL_DURATION_S),
        )
    )
    return report.Table('prompts of one account at 80%', COST_COLUMNS, rows)


def _charge_prompts(bytes_per_token, bytes_per_charged_token, refund_delay_s):
    """Return the tokens that were not charged, and the refusals.

    :param bytes_per_token: of the prompts.
    :param bytes_per_charged_token: of the charge, which is made before
        the tokens are counted.
    :param refund_delay_s: seconds until an excess charge is refunded,
        or None if it is not.
    """
    rng = random.Random(SEED)
    bucket = Bucket(COST_TOKENS_PER_S, COST_BURST_TOKENS)
    clock = Clock()
    uncharged_tokens = 0.0
    refused = 0
    tokens_per_request = 9000 / bytes_per_token + OUTPUT_TOKENS
    at_s = 0.0
    arrivals = []
    while at_s < COST_DURATION_S:
        arrivals.append((at_s, rng.randint(2000, 16000)))
        at_s += rng.expovariate(0.8 * COST_TOKENS_PER_S / tokens_per_request)

    def arrive(prompt_bytes):
        nonlocal uncharged_tokens, refused
        prompt_tokens = prompt_bytes / bytes_per_token
        charged_tokens = prompt_bytes / bytes_per_charged_token + OUTPUT_TOKENS
        wait_s = bucket.take(charged_tokens, clock.now_s, PATIENCE_S)
        if wait_s is None:
            refused += 1
            return
        unused_tokens = charged_tokens - prompt_tokens - OUTPUT_TOKENS
        if unused_tokens < 0:
            uncharged_tokens -= unused_tokens
        elif refund_delay_s is not None:
            refund_at_s = clock.now_s + wait_s + refund_delay_s
            clock.at(refund_at_s, refund, unused_tokens)

    def refund(unused_tokens):
        bucket.refund(unused_tokens, clock.now_s)

    for arrival_s, prompt_bytes in arrivals:
        clock.at(arrival_s, arrive, prompt_bytes)
    clock.run()
    return round(uncharged_tokens), f'{refused} of {len(arrivals)}'


def main(arguments=None):
    """Measure and print both workloads."""
    options = report.parse_arguments(__doc__, arguments)
    tables = (
        table(
            '9 entries, 5 accounts, one at 5 x its rate',
            small_workload(),
            (4,),
        ),
        table(
            '400 entries, 17,000 accounts, 3,200 requests/s', large_workload()
        ),
    )
    report.show([*tables, cost_table()], options.json)


if __name__ == '__main__':
    sys.exit(main())
