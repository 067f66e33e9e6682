"""Holds and pending placement requests of the local process."""

import collections
import dataclasses

from bulrushrudder.placement import events


@dataclasses.dataclass(frozen=True, slots=True)
class LocalHold:
    """A placement request, and its grant once there is one.

    :param allocation: None until it is granted.
    :param granted_s: monotonic seconds at which it was granted.
    """

    number: int
    request: str
    account: str
    model: str
    prompt_tokens: int
    output_tokens: int
    isolation: events.Isolation
    expected_tokens: int
    allocation: events.Allocation | None = None
    granted_s: float = 0.0


class LocalHolds:
    """Holds of this process, from which a coordinator can be rebuilt.

    :param owner: this process.
    """

    def __init__(self, owner):
        self._owner = owner
        self._by_number = {}
        self._numbers_by_request = collections.defaultdict(list)
        self._numbers_by_model = collections.defaultdict(set)
        self._last_number = 0

    @property
    def end_number(self):
        """Return the exclusive upper bound of the numbers opened."""
        return self._last_number + 1

    @property
    def models(self):
        """Return the models with holds or pending requests."""
        return tuple(self._numbers_by_model)

    def open(self, message):
        """Register a placement request and return its number.

        :param message: has the fields of a PlaceRequest message.
        """
        self._last_number += 1
        number = self._last_number
        self._by_number[number] = LocalHold(
            number,
            message.request,
            message.account,
            message.model,
            message.prompt_tokens,
            message.output_tokens,
            events.Isolation(message.isolation),
            message.expected_tokens,
        )
        self._numbers_by_request[message.request].append(number)
        self._numbers_by_model[message.model].add(number)
        return number

    def record_grant(self, number, prefill, decode, now_s):
        """Record a grant.

        :param now_s: monotonic seconds.
        :returns: whether the hold is still open.
        """
        open_hold = self._by_number.get(number)
        if open_hold is None:
            return False
        allocation = events.Allocation(
            events.HoldId(self._owner, number),
            open_hold.account,
            prefill,
            decode,
            open_hold.prompt_tokens,
            open_hold.output_tokens,
            open_hold.isolation,
            open_hold.expected_tokens,
        )
        self._by_number[number] = dataclasses.replace(
            open_hold, allocation=allocation, granted_s=now_s
        )
        return True

    def close(self, number):
        """Remove a hold."""
        closed = self._by_number.pop(number, None)
        if closed is None:
            return
        _discard_number(self._numbers_by_request, closed.request, number)
        _discard_number(self._numbers_by_model, closed.model, number)

    def list_by_request(self, request):
        """Return the model and number of each hold of a request."""
        numbers = self._numbers_by_request.get(request, ())
        return [(self._by_number[n].model, n) for n in numbers]

    def numbers(self, model):
        """Return all hold numbers of a model."""
        return tuple(sorted(self._numbers_by_model.get(model, ())))

    def allocations(self, numbers, now_s):
        """Return the Allocations granted under some numbers, with age.

        :param now_s: monotonic seconds.
        """
        holds = [self._by_number.get(number) for number in numbers]
        return tuple(
            dataclasses.replace(hold.allocation, age_s=now_s - hold.granted_s)
            for hold in holds
            if hold and hold.allocation
        )


def _discard_number(numbers_by_key, key, number):
    numbers_by_key[key].remove(number)
    if not numbers_by_key[key]:
        del numbers_by_key[key]
