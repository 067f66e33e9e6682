"""Places on backend servers: asking for them and granting them."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import directory
from bulrushrudder.entry import questions
from bulrushrudder.placement import coordinator
from bulrushrudder.protocol import place_messages

TICK_S = 0.05


class Coordinators:
    """Asks models' coordinators, and is one for some models.

    :param view: the View of the log.
    :param found: the Directory.
    """

    def __init__(self, view, found):
        self._view = view
        self._directory = found
        self._coordinator = coordinator.Coordinator()
        self._questions = questions.Questions()

    async def run(self):
        """Serve the queue as time passes, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._perform(coordinator.Ticked())

    async def ask(self, question):
        """Get servers for a request.

        :param question: an AskPlace message.
        :returns: a PlaceGranted, or a Refusal.
        """
        answer = await self._directory.ask(
            f'model/{question.model}',
            question,
            question.patience_s,
            self.serve,
        )
        match answer:
            case result.Success(place_messages.PlaceGranted() as granted):
                return result.Success(granted)
            case result.Success(place_messages.PlaceRefused(reason=number)):
                reason = outcomes.Reason(number)
                detail = 'no backend server can take the request in time'
                return result.Failure(outcomes.not_run(reason, detail, 1.0))
        return directory.unreachable("the model's coordinator")

    async def release(self, request, owner, model):
        """Say that a request's servers are free again."""
        message = place_messages.ReleasePlace(request, owner, model)
        await self._directory.tell(f'model/{model}', message, self.serve)

    async def serve(self, message):
        """Serve a message to a coordinator on this VM."""
        match message:
            case place_messages.AskPlace():
                return await self._grant(message)
            case place_messages.ReleasePlace(request=request, owner=owner):
                self._perform(coordinator.PlaceReleased(request, owner))
        return None

    async def _grant(self, message):
        call = self._questions.open()
        now_s = asyncio.get_running_loop().time()
        self._perform(
            coordinator.PlaceAsked(
                call=call,
                request=message.request,
                owner=message.owner,
                account=message.account,
                model=message.model,
                prompt_tokens=message.prompt_tokens,
                output_tokens=message.output_tokens,
                interactive=message.interactive,
                deadline_s=now_s + message.patience_s,
            )
        )
        return await self._questions.wait(call)

    def _perform(self, event):
        now_s = asyncio.get_running_loop().time()
        servers_by_id = self._view.state.servers.by_id
        for action in self._coordinator.handle(event, servers_by_id, now_s):
            match action:
                case coordinator.Grant(call=call):
                    granted = place_messages.PlaceGranted(
                        action.prefill, action.decode
                    )
                    self._questions.resolve(call, granted)
                case coordinator.Refuse(call=call, reason=reason):
                    refused = place_messages.PlaceRefused(int(reason))
                    self._questions.resolve(call, refused)
