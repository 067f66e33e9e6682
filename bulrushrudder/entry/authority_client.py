"""Requests tokens of client accounts from their authorities.

The authority of an account is a role that one VM hosts.
"""

import asyncio

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.entry import account_changes
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
# Up to this number of accounts, claiming them ahead of demand costs less
# than the delay of the first requests, which would wait for the claim.
MAX_ACCOUNTS_CLAIMED_AHEAD = 64
RETRY_DELAY_S = 0.1
# Time for the reply to travel back, in addition to the request's patience.
REPLY_MARGIN_S = 0.1
# For this time after a timeout, requests try the spare tokens before they
# ask the authority.
AUTHORITY_BACKOFF_S = 0.5
RELEASE_TIMEOUT_S = 3.0


class AuthorityClient:
    """Asks the authority of an account, on this VM or another one.

    It also hosts the authority of the accounts that this VM holds.

    :param owner: the Owner that identifies this process.
    :param view: the View of the log.
    :param directory: the RoleDirectory.
    :param control_client: the ControlClient, which proposes commands.
    :param environment: the environment whose accounts the VM serves.
    :param spare_tokens: the SpareTokens that this process may grant from while
        an authority does not reply.
    """

    def __init__(
        self,
        owner,
        view,
        directory,
        control_client,
        environment,
        spare_tokens=spare.NO_SPARE_TOKENS,
    ):
        self._owner = owner
        self._view = view
        self._directory = directory
        self._control_client = control_client
        self._environment = environment
        ahead = (
            0
            if spare_tokens is spare.NO_SPARE_TOKENS
            else MAX_ACCOUNTS_CLAIMED_AHEAD
        )
        self._authority = authority.Authority(owner, ahead)
        self._slices = slices.Slices()
        self._spare_tokens = spare_tokens
        self._backoff_until_s_by_account = {}
        self._replies_by_request = {}
        self._last_request_number = 0
        self._tasks = set()

    async def run(self):
        """Advance queued requests and refund stale slices until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._handle_event(events.Ticked())
            self._sweep_slices()

    async def request_tokens(self, account_id, tokens, patience_s):
        """Request the tokens for a request to a backend server.

        :param account_id: the client account to charge.
        :param tokens: cost of the request.
        :param patience_s: seconds to wait for the tokens at most.
        :returns: a Charge, or a Refusal.
        """
        now_s = self._now_s()
        account = self._view.lookups.accounts_by_id.get(account_id)
        if account is None:
            reason = outcomes.Reason.KEY_UNKNOWN
            detail = 'the document in force has no such client account'
            return result.Failure(outcomes.not_run(reason, detail))
        if tokens <= 0:
            nothing = ids.TokenRequestId(self._owner, 0)
            return result.Success(
                slices.Charge(account_id, 0, nothing, 0, False)
            )
        charge = self._slices.take(account, tokens, now_s)
        if charge is not None:
            return result.Success(charge)
        self._last_request_number += 1
        token_request = ids.TokenRequestId(
            self._owner, self._last_request_number
        )
        slice_tokens_wanted = self._slices.slice_tokens_wanted(
            account_id, tokens, now_s
        )
        request = token_messages.TokenRequest(
            token_request, account_id, tokens, slice_tokens_wanted, patience_s
        )
        if self._is_authority_silent(account_id, now_s):
            spare_charge = self._take_spare_tokens(
                account_id, tokens, token_request
            )
            if spare_charge is not None:
                return spare_charge
        answered = False
        try:
            answer = await self._ask_until(request, now_s + patience_s)
            answered = answer is not None
        finally:
            if not answered:
                self._spawn(self._withdraw(token_request, account_id))
        if not _is_decision(answer):
            self._record_silence(answer, account_id)
            spare_charge = self._take_spare_tokens(
                account_id, tokens, token_request
            )
            if spare_charge is not None:
                return spare_charge
        return self._accept_answer(answer, now_s)

    def _is_authority_silent(self, account, now_s):
        return now_s < self._backoff_until_s_by_account.get(account, 0.0)

    def _record_silence(self, answer, account):
        if answer is None:
            until_s = self._now_s() + AUTHORITY_BACKOFF_S
            self._backoff_until_s_by_account[account] = until_s

    def _take_spare_tokens(self, account, tokens, token_request):
        """Grant tokens without the authority, within the spare tokens.

        :returns: a Charge, or None if the spare tokens do not suffice.
        """
        processes = len(self._view.state.sessions.by_vm)
        now_s = self._now_s()
        if not self._spare_tokens.take(account, tokens, processes, now_s):
            return None
        log.emit(
            catalogue.SPARE_TOKENS_GRANTED,
            account=account,
            tokens=tokens,
            processes=processes,
            view=self._view.index,
        )
        # The authority has no record of spare tokens, so the charge is empty
        # and nothing is refunded.
        return result.Success(
            slices.Charge(account, 0, token_request, 0, False)
        )

    async def refund(self, charge, tokens):
        """Refund the unused tokens of a charge."""
        refund = self._slices.refund(charge, tokens, self._now_s())
        if refund is not None:
            await self._send_refund(refund)

    async def serve(self, message):
        """Handle a message to an authority on this VM.

        :returns: the reply, or None for messages without one.
        """
        match message:
            case token_messages.TokenRequest():
                return await self._answer(message)
            case token_messages.RefundTokens():
                self._handle_event(
                    events.TokensRefunded(
                        message.token_request,
                        message.account,
                        message.epoch,
                        message.number,
                        message.tokens,
                        message.closes,
                    )
                )
            case token_messages.WithdrawTokenRequest(
                token_request=token_request, account=account
            ):
                self._handle_event(
                    events.TokenRequestWithdrawn(token_request, account)
                )
        return None

    async def release_accounts(self):
        """Release the accounts held here so that other VMs can claim them.

        Returns after a timeout even if some releases are not committed.
        """
        deadline_s = self._now_s() + RELEASE_TIMEOUT_S
        self._handle_event(events.Stopping())
        while self._authority.held and self._now_s() < deadline_s:
            await asyncio.sleep(TICK_S)
            self._handle_event(events.Ticked())

    # Requesting tokens.

    async def _ask_until(self, request, deadline_s):
        """Send a request and retry until it is decided or times out.

        A retry goes to the VM that hosts the authority at that time.

        :param deadline_s: monotonic seconds after which it is not retried.
        :returns: a TokensGranted or TokensRefused message, or None if no
            reply came in time.
        """
        account = request.account
        left_s = request.patience_s
        while True:
            pending_answer = self._directory.ask(
                authority.role(account), request, left_s, self.serve
            )
            try:
                async with asyncio.timeout(left_s + REPLY_MARGIN_S):
                    answer = await pending_answer
            except TimeoutError:
                return None
            match answer:
                case result.Success(token_messages.TokensGranted() as granted):
                    return granted
                case result.Success(token_messages.TokensRefused() as refused):
                    return refused
            await asyncio.sleep(RETRY_DELAY_S)
            left_s = deadline_s - self._now_s()
            if left_s <= 0:
                return None

    def _accept_answer(self, answer, requested_s):
        match answer:
            case token_messages.TokensGranted():
                return result.Success(self._accept_grant(answer, requested_s))
            case token_messages.TokensRefused():
                return result.Failure(_refusal(answer))
        reason = outcomes.Reason.INSIDE_RATE
        detail = 'no VM could grant the tokens in time'
        return result.Failure(outcomes.not_run(reason, detail, 1.0))

    def _accept_grant(self, granted, requested_s):
        if granted.slice_tokens:
            for refund in self._slices.put(granted, requested_s):
                self._spawn(self._send_refund(refund))
        return slices.Charge(
            granted.account,
            granted.epoch,
            granted.token_request,
            granted.tokens,
            False,
        )

    async def _withdraw(self, token_request, account):
        message = token_messages.WithdrawTokenRequest(token_request, account)
        await self._directory.send(
            authority.role(account), message, self.serve
        )

    async def _send_refund(self, refund):
        message = token_messages.RefundTokens(
            refund.token_request,
            refund.account,
            refund.epoch,
            refund.number,
            refund.tokens,
            refund.closes,
        )
        role = authority.role(refund.account)
        await self._directory.send(role, message, self.serve)

    def _sweep_slices(self):
        accounts_by_id = self._view.lookups.accounts_by_id
        for refund in self._slices.sweep(accounts_by_id, self._now_s()):
            self._spawn(self._send_refund(refund))

    # Granting tokens as an authority.

    async def _answer(self, message):
        answer = self._replies_by_request.get(message.token_request)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._replies_by_request[message.token_request] = answer
        event = events.TokensRequested(
            message.token_request,
            message.account,
            message.tokens,
            message.slice_tokens_wanted,
            self._now_s() + message.patience_s,
        )
        self._handle_event(event)
        return await asyncio.shield(answer)

    def _handle_event(self, event):
        next_actions = self._authority.handle(
            event, self._log_view(), self._now_s()
        )
        for action in next_actions:
            match action:
                case actions.Propose(command=command):
                    self._spawn(self._propose(command))
                case actions.Grant():
                    self._resolve(
                        action.token_request, _granted_message(action)
                    )
                case actions.Refuse(token_request=token_request):
                    refused = token_messages.TokensRefused(
                        int(action.reason), action.retry_after_s
                    )
                    self._resolve(token_request, refused)
                case actions.Redirect(token_request=token_request):
                    self._resolve(
                        token_request, token_messages.AuthorityMoved()
                    )

    async def _propose(self, command):
        outcome = await self._control_client.propose(command)
        account_changes.record(command, outcome)
        self._handle_event(events.Ticked())

    def _resolve(self, token_request, answer):
        future = self._replies_by_request.pop(token_request, None)
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

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(tasks.log_exception)

    def _now_s(self):
        return asyncio.get_running_loop().time()


def _is_decision(answer):
    """Return whether a reply is a decision of the authority.

    INSIDE_RATE is none: such a refusal says that the authority could not
    establish in time what the account may spend.
    """
    match answer:
        case token_messages.TokensGranted():
            return True
        case token_messages.TokensRefused(reason=reason):
            return reason != int(outcomes.Reason.INSIDE_RATE)
    return False


def _granted_message(grant):
    return token_messages.TokensGranted(
        grant.token_request,
        grant.account,
        grant.epoch,
        grant.tokens,
        grant.slice_tokens,
        grant.rate,
        grant.burst,
    )


def _refusal(refused):
    reason = outcomes.Reason(refused.reason)
    detail = 'the client account does not have enough tokens for this request'
    if reason is outcomes.Reason.COST_ABOVE_BURST:
        detail = (
            'the request may cost more tokens than the burst of the account'
        )
    retry_after_s = refused.retry_after_s or None
    return outcomes.not_run(reason, detail, retry_after_s)
