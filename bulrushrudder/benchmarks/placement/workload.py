"""Fleets and generated requests of both firms."""

import dataclasses
import random

from bulrushrudder.placement import prefixes

ACCOUNT_SHARES = (0.4, 0.25, 0.2, 0.1, 0.05)
ZONES = ('a', 'b', 'c')
BURST_S = 30.0
FILES_PER_ACCOUNT = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of call.

    :param share: its share of the calls.
    :param prompt_tokens: least and most tokens of a prompt.
    :param output_tokens: least and most tokens of an output.
    :param first_token_s: target of the time to the first token.
    :param between_tokens_s: target of the mean time between tokens.
    :param shared_prefix_share: share of the prompt that is a prefix in
        common with other calls.
    """

    share: float
    interactive: bool
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    first_token_s: float
    between_tokens_s: float
    shared_prefix_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The servers of one model.

    :param step_s: seconds between tokens of an idle decode server.
    :param step_per_request_s: seconds that each running request adds.
    """

    name: str
    prefills: int
    decodes: int
    kinds: tuple[Kind, ...]
    prefill_tokens_per_s: float
    places: int = 20
    memory_tokens: int = 480000
    link_tokens_per_s: float = 150000.0
    step_s: float = 0.015
    step_per_request_s: float = 0.0025

    def step_time_s(self, running):
        """Return the seconds between tokens with some running requests."""
        return self.step_s + self.step_per_request_s * running

    def max_running(self):
        """Return the most requests per server within the strictest target."""
        strictest_s = min(kind.between_tokens_s for kind in self.kinds)
        running = self.places
        while self.step_time_s(running) > strictest_s:
            running -= 1
        return running

    def capacity(self):
        """Return the output tokens per second of all decode servers."""
        running = self.max_running()
        return self.decodes * running / self.step_time_s(running)

    def mean_output_tokens(self):
        """Return the mean output tokens of a request."""
        return sum(k.share * sum(k.output_tokens) / 2 for k in self.kinds)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One call to a model.

    :param output_tokens: tokens that it produces; unknown to the system.
    :param max_output_tokens: limit on the output that the system knows.
    :param inside_rate: whether it is inside the rate of its account.
    """

    number: int
    arrival_s: float
    account: str
    weight: float
    zone: str
    kind: Kind
    prompt_tokens: int
    output_tokens: int
    max_output_tokens: int
    prefix: tuple[int, ...]
    inside_rate: bool


SHORT = Kind(1.0, True, (200, 1500), (30, 150), 1.1, 0.061, 0.4)
DRAFT = Kind(1.0, False, (1000, 8000), (150, 600), 10.0, 0.1, 0.5)
HEARING = Kind(0.6, False, (8000, 36000), (200, 700), 15.0, 0.1, 0.5)
QUESTION = Kind(0.4, True, (300, 1500), (30, 150), 2.5, 0.1, 0.3)

FLEETS = (
    Fleet('mrezica-drafting', 2, 4, (DRAFT,), 14000.0),
    Fleet('mrezica-portal', 1, 2, (SHORT,), 9000.0),
    Fleet('synigoros-briefing', 2, 3, (HEARING, QUESTION), 29000.0),
    Fleet('synigoros-roster', 1, 3, (SHORT,), 13000.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """The load and the seed of the generated requests.

    :param load: share of the decode capacity.
    :param seconds: virtual seconds for which requests arrive.
    :param factors_by_account: pairs of an account that sends more than
        its share and its factor.
    """

    load: float
    seconds: float
    seed: int
    factors_by_account: tuple[tuple[str, float], ...] = ()


def accounts():
    """Return names and shares of the client accounts."""
    return tuple(
        (f'account-{number}', share)
        for number, share in enumerate(ACCOUNT_SHARES, 1)
    )


def requests(fleet, mix):
    """Return the requests of a run in order of arrival.

    Each account has its own random numbers, so that its calls are the
    same whatever the others send.
    """
    requests = []
    for account, share in accounts():
        factor = dict(mix.factors_by_account).get(account, 1.0)
        requests += _account_requests(fleet, mix, account, share, factor)
    requests.sort(key=lambda request: (request.arrival_s, request.account))
    return [
        dataclasses.replace(request, number=number)
        for number, request in enumerate(requests)
    ]


def _account_requests(fleet, mix, account, share, factor):
    rng = random.Random(f'{mix.seed} {fleet.name} {account}')
    rate = fleet.capacity() / fleet.mean_output_tokens() * share * mix.load
    bucket = _Bucket(_mean_cost(fleet) * rate / mix.load)
    now_s = 0.0
    while True:
        now_s += rng.expovariate(rate * factor)
        if now_s > mix.seconds:
            return
        kind = rng.choices(fleet.kinds, [kind.share for kind in fleet.kinds])[
            0
        ]
        prompt_tokens = rng.randint(*kind.prompt_tokens)
        output_tokens = rng.randint(*kind.output_tokens)
        max_output_tokens = kind.output_tokens[1]
        cost = prompt_tokens + output_tokens
        yield Request(
            number=0,
            arrival_s=now_s,
            account=account,
            weight=share,
            zone=rng.choice(ZONES),
            kind=kind,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            max_output_tokens=max_output_tokens,
            prefix=_prefix(rng, account, kind, prompt_tokens),
            inside_rate=bucket.take(cost, now_s),
        )


def _mean_cost(fleet):
    return sum(
        k.share * (sum(k.prompt_tokens) + sum(k.output_tokens)) / 2
        for k in fleet.kinds
    )


def _prefix(rng, account, kind, prompt_tokens):
    file = rng.randrange(FILES_PER_ACCOUNT)
    shared = prompt_tokens * kind.shared_prefix_share
    key = random.Random(f'{account} {kind.interactive} {file}').getrandbits(60)
    return tuple(
        key + position
        for position in range(prefixes.MAX_DIGESTS)
        if prefixes.prefix_tokens(position) <= shared
    )


class _Bucket:
    """Token bucket that decides which calls are inside a rate."""

    def __init__(self, rate):
        self._rate = rate
        self._tokens = rate * BURST_S
        self._last_s = 0.0

    def take(self, tokens, now_s):
        earned = (now_s - self._last_s) * self._rate
        self._tokens = min(self._rate * BURST_S, self._tokens + earned)
        self._last_s = now_s
        if tokens > self._tokens:
            return False
        self._tokens -= tokens
        return True
