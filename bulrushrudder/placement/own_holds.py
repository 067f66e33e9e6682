"""What the requests of one process hold or ask for."""

import collections
import dataclasses

from bulrushrudder.placement import events


@dataclasses.dataclass(frozen=True, slots=True)
class OwnHold:
    """A question of a request, and its answer once it is there.

    :param holding: None while the question is open.
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
    holding: events.Holding | None = None
    granted_s: float = 0.0


class OwnHolds:
    """Holds of this process, so that a coordinator can be rebuilt.

    :param owner: this process.
    """

    def __init__(self, owner):
        self._owner = owner
        self._by_number = {}
        self._numbers_by_request = collections.defaultdict(list)
        self._numbers_by_model = collections.defaultdict(set)
        self._last_number = 0

    @property
    def below(self):
        """Return a number above all that were opened."""
        return self._last_number + 1

    @property
    def models(self):
        """Return the models of which something is held or asked for."""
        return tuple(self._numbers_by_model)

    def open(self, question):
        """Return the number of a new question.

        :param question: has the fields of an AskPlace message.
        """
        self._last_number += 1
        number = self._last_number
        self._by_number[number] = OwnHold(
            number,
            question.request,
            question.account,
            question.model,
            question.prompt_tokens,
            question.output_tokens,
            events.Isolation(question.isolation),
            question.expected_tokens,
        )
        self._numbers_by_request[question.request].append(number)
        self._numbers_by_model[question.model].add(number)
        return number

    def granted(self, number, prefill, decode, now_s):
        """Take a grant in.

        :param now_s: monotonic seconds.
        :returns: whether the request still wants it.
        """
        open_hold = self._by_number.get(number)
        if open_hold is None:
            return False
        holding = events.Holding(
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
            open_hold, holding=holding, granted_s=now_s
        )
        return True

    def close(self, number):
        """Forget a hold."""
        closed = self._by_number.pop(number, None)
        if closed is None:
            return
        _discard_number(self._numbers_by_request, closed.request, number)
        _discard_number(self._numbers_by_model, closed.model, number)

    def of_request(self, request):
        """Return the model and the number of each hold of a request."""
        numbers = self._numbers_by_request.get(request, ())
        return [(self._by_number[n].model, n) for n in numbers]

    def numbers(self, model):
        """Return all numbers of a model."""
        return tuple(sorted(self._numbers_by_model.get(model, ())))

    def holdings(self, numbers, now_s):
        """Return what was granted under some numbers, and how long ago.

        :param now_s: monotonic seconds.
        """
        holds = [self._by_number.get(number) for number in numbers]
        return tuple(
            dataclasses.replace(hold.holding, age_s=now_s - hold.granted_s)
            for hold in holds
            if hold and hold.holding
        )


def _discard_number(numbers_by_key, key, number):
    numbers_by_key[key].remove(number)
    if not numbers_by_key[key]:
        del numbers_by_key[key]
