"""The roles that this VM plays for the fleet, and asking others.

Authorities of client accounts and the coordinator of a model are chosen
by highest random weight over the open sessions.
"""

import asyncio

from returns import result

from bulrushrudder.config import settings
from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking
from bulrushrudder.limits import authority
from bulrushrudder.placement import coordinator
from bulrushrudder.protocol import messages

TICK_S = 0.05
MARGIN_S = 2.0


class Roles:
    """Hosts authorities and coordinators of this VM.

    :param view: the View of the log.
    :param owner: this process.
    :param peers: links to other entry processes.
    """

    def __init__(self, view, owner, peers):
        self._view = view
        self._owner = owner
        self._peers = peers
        self._authority = authority.Authority()
        self._coordinator = coordinator.Coordinator()
        self._futures_by_call = {}
        self._last_call = 0

    async def run(self):
        """Let waiting questions be served until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._authority_event(authority.Ticked())
            self._coordinator_event(coordinator.Ticked())

    async def ask_tokens(self, account, tokens, patience_s):
        """Get the tokens of a request from the account's authority.

        :returns: a TokensGranted, or a Refusal.
        """
        question = messages.AskTokens(account, tokens, patience_s)
        answer = await self._ask(f'account/{account}', question, patience_s)
        match answer:
            case result.Success(messages.TokensGranted() as granted):
                return result.Success(granted)
            case result.Success(messages.TokensRefused() as refused):
                return result.Failure(_token_refusal(refused))
        return _unreachable('the authority of the client account')

    async def return_tokens(self, account, tokens):
        """Give unused tokens back."""
        message = messages.ReturnTokens(account, tokens)
        await self._tell(f'account/{account}', message)

    async def ask_place(self, question):
        """Get servers for a request from the model's coordinator.

        :param question: an AskPlace message.
        :returns: a PlaceGranted, or a Refusal.
        """
        key = f'model/{question.model}'
        answer = await self._ask(key, question, question.patience_s)
        match answer:
            case result.Success(messages.PlaceGranted() as granted):
                return result.Success(granted)
            case result.Success(messages.PlaceRefused(reason=number)):
                reason = outcomes.Reason(number)
                detail = 'no backend server can take the request in time'
                return result.Failure(outcomes.not_run(reason, detail, 1.0))
        return _unreachable("the model's coordinator")

    async def release_place(self, request, owner, model):
        """Tell the model's coordinator that the servers are free."""
        message = messages.ReleasePlace(request, owner, model)
        await self._tell(f'model/{model}', message)

    async def handle(self, link, message):
        """Serve a message of another entry process."""
        match message:
            case messages.AskTokens():
                return await self._serve_tokens(message)
            case messages.ReturnTokens(account=account, tokens=tokens):
                self._authority_event(
                    authority.TokensReturned(account, tokens)
                )
            case messages.AskPlace():
                return await self._serve_place(message)
            case messages.ReleasePlace(request=request, owner=owner):
                self._coordinator_event(
                    coordinator.PlaceReleased(request, owner)
                )
        return None

    async def _ask(self, key, question, patience_s):
        address = self._address_of(key)
        if address is None:
            return result.Success(await self.handle(None, question))
        timeout_s = patience_s + MARGIN_S
        return await self._peers.ask(address, question, timeout_s)

    async def _tell(self, key, message):
        address = self._address_of(key)
        if address is None:
            await self.handle(None, message)
            return
        await self._peers.tell(address, message)

    def _address_of(self, key):
        """Return the address of the VM in charge, None for this one."""
        sessions_by_vm = self._view.state.sessions_by_vm
        chosen = ranking.choose(key, sessions_by_vm)
        if chosen is None or chosen == self._owner.vm:
            return None
        session = sessions_by_vm[chosen]
        return settings.Address(session.address, session.port)

    async def _serve_tokens(self, message):
        call, future = self._new_call()
        self._authority_event(
            authority.TokensAsked(
                call,
                message.account,
                message.tokens,
                self._now_s() + message.patience_s,
            )
        )
        return await self._wait(call, future)

    async def _serve_place(self, message):
        call, future = self._new_call()
        self._coordinator_event(
            coordinator.PlaceAsked(
                call=call,
                request=message.request,
                owner=message.owner,
                account=message.account,
                model=message.model,
                prompt_tokens=message.prompt_tokens,
                output_tokens=message.output_tokens,
                interactive=message.interactive,
                deadline_s=self._now_s() + message.patience_s,
            )
        )
        return await self._wait(call, future)

    async def _wait(self, call, future):
        try:
            return await future
        finally:
            self._futures_by_call.pop(call, None)

    def _new_call(self):
        self._last_call += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_call[self._last_call] = future
        return self._last_call, future

    def _now_s(self):
        return asyncio.get_running_loop().time()

    def _authority_event(self, event):
        accounts_by_id = self._view.lookups.accounts_by_id
        actions = self._authority.handle(event, accounts_by_id, self._now_s())
        for action in actions:
            match action:
                case authority.Grant(call=call):
                    self._resolve(call, messages.TokensGranted())
                case authority.Refuse(call=call):
                    refused = messages.TokensRefused(
                        int(action.reason), action.retry_after_s
                    )
                    self._resolve(call, refused)

    def _coordinator_event(self, event):
        servers_by_id = self._view.state.servers_by_id
        actions = self._coordinator.handle(event, servers_by_id, self._now_s())
        for action in actions:
            match action:
                case coordinator.Grant(call=call):
                    granted = messages.PlaceGranted(
                        action.prefill, action.decode
                    )
                    self._resolve(call, granted)
                case coordinator.Refuse(call=call, reason=reason):
                    self._resolve(call, messages.PlaceRefused(int(reason)))

    def _resolve(self, call, answer):
        future = self._futures_by_call.get(call)
        if future is not None and not future.done():
            future.set_result(answer)


def _token_refusal(refused):
    reason = outcomes.Reason(refused.reason)
    detail = 'the client account has not the tokens for this request'
    retry_after_s = refused.retry_after_s or None
    return outcomes.not_run(reason, detail, retry_after_s)


def _unreachable(what):
    reason = outcomes.Reason.CONTROL_UNREACHABLE
    return result.Failure(
        outcomes.not_run(reason, f'{what} cannot be reached', 1.0)
    )
