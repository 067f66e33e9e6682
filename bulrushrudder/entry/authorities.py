"""Grants of client accounts: asking for them and giving them."""

import asyncio

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.limits import actions
from bulrushrudder.limits import authority
from bulrushrudder.limits import events
from bulrushrudder.limits import slices
from bulrushrudder.limits import spare
from bulrushrudder.protocol import token_messages
from bulrushrudder.utils import tasks

TICK_S = 0.05
# Where accounts are so few, claiming them before anybody asks costs less
# than the first requests that would wait for it.
CLAIMED_AHEAD = 64
ASK_AGAIN_S = 0.1
# An answer's way back, beside the patience of the question.
ANSWER_S = 0.1
# An authority that gave no answer is asked again after this time; until
# then requests first take from the spare tokens.
SILENT_S = 0.5
RELEASE_S = 3.0


class Authorities:
    """Asks accounts' authorities, and is one for some accounts.

    :param owner: this process.
    :param view: the View of the log.
    :param found: the Directory.
    :param observing: the Observing, which proposes commands.
    :param environment: whose accounts the VM serves.
    :param spares: the SpareTokens that this process may grant from while an
        authority is silent.
    """

    def __init__(
        self,
        owner,
        view,
        found,
        observing,
        environment,
        spares=spare.NO_SPARE_TOKENS,
    ):
        self._owner = owner
        self._view = view
        self._directory = found
        self._observing = observing
        self._environment = environment
        ahead = 0 if spares is spare.NO_SPARE_TOKENS else CLAIMED_AHEAD
        self._authority = authority.Authority(owner, ahead)
        self._slices = slices.Slices()
        self._spares = spares
        self._silent_until_s_by_account = {}
        self._answers_by_ask = {}
        self._last_ask = 0
        self._tasks = set()

    async def run(self):
        """Serve waiting questions as time passes, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._perform(events.Ticked())
            self._sweep()

    async def ask(self, account_id, tokens, patience_s):
        """Get the tokens of a request.

        :returns: a Charge, or a Refusal.
        """
        now_s = self._now_s()
        account = self._view.lookups.accounts_by_id.get(account_id)
        if account is None:
            reason = outcomes.Reason.KEY_UNKNOWN
            detail = 'the client account is not in force'
            return result.Failure(outcomes.not_run(reason, detail))
        if tokens <= 0:
            nothing = ids.AskId(self._owner, 0)
            free = slices.Charge(account_id, 0, nothing, 0, False)
            return result.Success(free)
        charge = self._slices.take(account, tokens, now_s)
        if charge is not None:
            return result.Success(charge)
        self._last_ask += 1
        ask = ids.AskId(self._owner, self._last_ask)
        slice_tokens_wanted = self._slices.slice_tokens_wanted(
            account_id, tokens, now_s
        )
        question = token_messages.AskTokens(
            ask, account_id, tokens, slice_tokens_wanted, patience_s
        )
        if self._is_silent(account_id, now_s):
            spared = self._take_spare(account_id, tokens, ask)
            if spared is not None:
                return spared
        answered = False
        try:
            answer = await self._ask_until(question, now_s + patience_s)
            answered = answer is not None
        finally:
            if not answered:
                self._start(self._withdraw(ask, account_id))
        if not _is_ruled(answer):
            self._note_silence(answer, account_id)
            spared = self._take_spare(account_id, tokens, ask)
            if spared is not None:
                return spared
        return self._take(answer, now_s)

    def _is_silent(self, account, now_s):
        return now_s < self._silent_until_s_by_account.get(account, 0.0)

    def _note_silence(self, answer, account):
        if answer is None:
            until_s = self._now_s() + SILENT_S
            self._silent_until_s_by_account[account] = until_s

    def _take_spare(self, account, tokens, ask):
        """Grant a request's tokens without the authority, if allowed."""
        processes = len(self._view.state.sessions.by_vm)
        now_s = self._now_s()
        if not self._spares.take(account, tokens, processes, now_s):
            return None
        log.emit(
            catalogue.SPARE_TOKENS_GRANTED,
            account=account,
            tokens=tokens,
            processes=processes,
            view=self._view.index,
        )
        # Nothing of it goes back, as no authority knows of it.
        return result.Success(slices.Charge(account, 0, ask, 0, False))

    async def refund(self, charge, tokens):
        """Give the unused tokens of a charge back."""
        given = self._slices.refund(charge, tokens, self._now_s())
        if given is not None:
            await self._tell_return(given)

    async def serve(self, message):
        """Serve a message to an authority on this VM."""
        match message:
            case token_messages.AskTokens():
                return await self._answer(message)
            case token_messages.ReturnTokens():
                self._perform(
                    events.TokensReturned(
                        message.ask,
                        message.account,
                        message.epoch,
                        message.number,
                        message.tokens,
                        message.closes,
                    )
                )
            case token_messages.WithdrawAsk(ask=ask, account=account):
                self._perform(events.AskWithdrawn(ask, account))
        return None

    async def stop(self):
        """Leave every account to a successor, as far as time allows."""
        ends_s = self._now_s() + RELEASE_S
        self._perform(events.Stopping())
        while self._authority.held and self._now_s() < ends_s:
            await asyncio.sleep(TICK_S)
            self._perform(events.Ticked())

    # Asking.

    async def _ask_until(self, question, ends_s):
        """Ask, also another VM after a failure, until patience ends."""
        account = question.account
        left_s = question.patience_s
        while True:
            asked = self._directory.ask(
                authority.role(account), question, left_s, self.serve
            )
            try:
                async with asyncio.timeout(left_s + ANSWER_S):
                    answer = await asked
            except TimeoutError:
                return None
            match answer:
                case result.Success(token_messages.TokensGranted() as found):
                    return found
                case result.Success(token_messages.TokensRefused() as found):
                    return found
            await asyncio.sleep(ASK_AGAIN_S)
            left_s = ends_s - self._now_s()
            if left_s <= 0:
                return None

    def _take(self, answer, asked_s):
        match answer:
            case token_messages.TokensGranted():
                return result.Success(self._take_grant(answer, asked_s))
            case token_messages.TokensRefused():
                return result.Failure(_refusal(answer))
        reason = outcomes.Reason.INSIDE_RATE
        detail = 'no VM could grant the tokens in time'
        return result.Failure(outcomes.not_run(reason, detail, 1.0))

    def _take_grant(self, granted, asked_s):
        if granted.slice_tokens:
            for given in self._slices.put(granted, asked_s):
                self._start(self._tell_return(given))
        return slices.Charge(
            granted.account,
            granted.epoch,
            granted.ask,
            granted.tokens,
            False,
        )

    async def _withdraw(self, ask, account):
        message = token_messages.WithdrawAsk(ask, account)
        role = authority.role(account)
        await self._directory.tell(role, message, self.serve)

    async def _tell_return(self, given):
        message = token_messages.ReturnTokens(
            given.ask,
            given.account,
            given.epoch,
            given.number,
            given.tokens,
            given.closes,
        )
        role = authority.role(given.account)
        await self._directory.tell(role, message, self.serve)

    def _sweep(self):
        accounts_by_id = self._view.lookups.accounts_by_id
        for given in self._slices.sweep(accounts_by_id, self._now_s()):
            self._start(self._tell_return(given))

    # Granting.

    async def _answer(self, message):
        answer = self._answers_by_ask.get(message.ask)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._answers_by_ask[message.ask] = answer
        event = events.TokensAsked(
            message.ask,
            message.account,
            message.tokens,
            message.slice_tokens_wanted,
            self._now_s() + message.patience_s,
        )
        self._perform(event)
        return await asyncio.shield(answer)

    def _perform(self, event):
        found = self._authority.handle(event, self._log_view(), self._now_s())
        for action in found:
            match action:
                case actions.Propose(command=command):
                    self._start(self._propose(command))
                case actions.Grant():
                    self._resolve(action.ask, _granted(action))
                case actions.Refuse(ask=ask):
                    refused = token_messages.TokensRefused(
                        int(action.reason), action.retry_after_s
                    )
                    self._resolve(ask, refused)
                case actions.Redirect(ask=ask):
                    self._resolve(ask, token_messages.AskElsewhere())

    async def _propose(self, command):
        await self._observing.propose(command)
        self._perform(events.Ticked())

    def _resolve(self, ask, answer):
        future = self._answers_by_ask.pop(ask, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def _log_view(self):
        view = self._view
        return authority.LogView(
            self._environment,
            view.confirmed_s,
            view.state.accounts.by_key,
            view.lookups.accounts_by_id,
            tuple(view.state.sessions.hosts_by_vm),
        )

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(tasks.log_exception)

    def _now_s(self):
        return asyncio.get_running_loop().time()


def _is_ruled(answer):
    """Return whether the authority knew what the account may spend."""
    match answer:
        case token_messages.TokensGranted():
            return True
        case token_messages.TokensRefused(reason=reason):
            return reason != int(outcomes.Reason.INSIDE_RATE)
    return False


def _granted(grant):
    return token_messages.TokensGranted(
        grant.ask,
        grant.account,
        grant.epoch,
        grant.tokens,
        grant.slice_tokens,
        grant.rate,
        grant.burst,
    )


def _refusal(refused):
    reason = outcomes.Reason(refused.reason)
    detail = 'the client account has not the tokens for this request'
    if reason is outcomes.Reason.COST_ABOVE_BURST:
        detail = 'the request may cost more than the account holds at most'
    retry_after_s = refused.retry_after_s or None
    return outcomes.not_run(reason, detail, retry_after_s)
