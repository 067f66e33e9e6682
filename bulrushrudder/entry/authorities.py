"""Grants of client accounts: asking for them and giving them."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import directory
from bulrushrudder.entry import questions
from bulrushrudder.limits import authority
from bulrushrudder.protocol import token_messages

TICK_S = 0.05


class Authorities:
    """Asks accounts' authorities, and is one for some accounts.

    :param view: the View of the log.
    :param found: the Directory.
    """

    def __init__(self, view, found):
        self._view = view
        self._directory = found
        self._authority = authority.Authority()
        self._questions = questions.Questions()

    async def run(self):
        """Serve waiting questions as time passes, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._perform(authority.Ticked())

    async def ask(self, account, tokens, patience_s):
        """Get the tokens of a request.

        :returns: a TokensGranted, or a Refusal.
        """
        question = token_messages.AskTokens(account, tokens, patience_s)
        answer = await self._directory.ask(
            f'account/{account}', question, patience_s, self.serve
        )
        match answer:
            case result.Success(token_messages.TokensGranted() as granted):
                return result.Success(granted)
            case result.Success(token_messages.TokensRefused() as refused):
                return result.Failure(_refusal(refused))
        return directory.unreachable('the authority of the client account')

    async def give_back(self, account, tokens):
        """Give unused tokens back."""
        message = token_messages.ReturnTokens(account, tokens)
        await self._directory.tell(f'account/{account}', message, self.serve)

    async def serve(self, message):
        """Serve a message to an authority on this VM."""
        match message:
            case token_messages.AskTokens():
                return await self._grant(message)
            case token_messages.ReturnTokens(account=account, tokens=tokens):
                self._perform(authority.TokensReturned(account, tokens))
        return None

    async def _grant(self, message):
        call = self._questions.open()
        now_s = asyncio.get_running_loop().time()
        self._perform(
            authority.TokensAsked(
                call,
                message.account,
                message.tokens,
                now_s + message.patience_s,
            )
        )
        return await self._questions.wait(call)

    def _perform(self, event):
        now_s = asyncio.get_running_loop().time()
        accounts_by_id = self._view.lookups.accounts_by_id
        for action in self._authority.handle(event, accounts_by_id, now_s):
            match action:
                case authority.Grant(call=call):
                    granted = token_messages.TokensGranted()
                    self._questions.resolve(call, granted)
                case authority.Refuse(call=call):
                    refused = token_messages.TokensRefused(
                        int(action.reason), action.retry_after_s
                    )
                    self._questions.resolve(call, refused)


def _refusal(refused):
    reason = outcomes.Reason(refused.reason)
    detail = 'the client account has not the tokens for this request'
    retry_after_s = refused.retry_after_s or None
    return outcomes.not_run(reason, detail, retry_after_s)
