"""Documents, states, messages and commands of typical size."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import keys
from bulrushrudder.documents import differences
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import place_messages
from bulrushrudder.protocol import token_messages
from bulrushrudder.state import accounts
from bulrushrudder.state import documents
from bulrushrudder.state import intents
from bulrushrudder.state import machine
from bulrushrudder.state import servers
from bulrushrudder.state import sessions

INCARNATION = 1_796_371_000_000_000_000
DIGEST = keys.digest('some bytes')
ANSWER_BYTES = 1024
OWNER = ids.Owner(ids.VmId('vm-123'), INCARNATION)
ACCOUNT = ids.AccountId('account-01234')
MODEL = ids.ModelId('drafting-large')
PRODUCTION = types.Environment.PRODUCTION


def account(number):
    """Return a client account with one key."""
    return types.ClientAccount(
        id=ids.AccountId(f'account-{number:05}'),
        rate=100.0 + number % 7,
        burst=10_000,
        weight=1.0,
        key_digests=(keys.digest(f'key-{number}'),),
    )


def document(account_count, version=1):
    """Return a document with `account_count` client accounts."""
    return types.Document(
        version=version,
        accounts=tuple(account(number) for number in range(account_count)),
        models=(),
        routes=(),
        register=lookups.EMPTY_DOCUMENT.register,
        cut_on_withdrawal=False,
    )


def submission(before, after):
    """Return the command that submits the change between two documents."""
    return documents.SubmitDocument(
        base_version=before.version,
        base_digest=DIGEST if before.version else '',
        difference=differences.between(before, after),
        digest=DIGEST,
        operator='ana',
    )


def promotion(version):
    """Return the command that promotes a version to production."""
    return documents.PromoteDocument(version, DIGEST, 'ana')


def changed(before):
    """Return the next version, with one client account changed."""
    first = dataclasses.replace(before.accounts[0], rate=1.0)
    return dataclasses.replace(
        before,
        version=before.version + 1,
        accounts=(first, *before.accounts[1:]),
    )


def session(number):
    """Return the command that opens a VM's session."""
    return sessions.OpenSession(
        owner=ids.Owner(ids.VmId(f'vm-{number:03}'), INCARNATION),
        zone=ids.Zone('zone-a'),
        address=f'10.0.{number // 250}.{number % 250}',
        port=7000,
    )


def server(number):
    """Return a backend server."""
    return servers.BackendServer(
        id=ids.ServerId(f'decode-{number:04}'),
        incarnation=INCARNATION,
        kind='decode',
        host=f'10.1.{number // 250}.{number % 250}',
        port=8000,
        zone=ids.Zone('zone-a'),
        serves=('drafting-large',),
        places=20,
        memory_tokens=400_000,
        link_tokens_per_s=1e6,
        checks_fencing=True,
    )


def intent_commands(number=0):
    """Return the commands that open and close an at-most-once call."""
    key = intents.IntentKey(PRODUCTION, ACCOUNT, f'filing-{number:08}')
    dispatch = intents.Dispatch(OWNER, number)
    answer = intents.Answer(200, (), b'x' * ANSWER_BYTES)
    opened = intents.OpenIntent(key, DIGEST, dispatch, 86400.0, 10**6)
    closed = intents.CloseIntent(
        key=key,
        fingerprint=DIGEST,
        dispatch=dispatch,
        phase=intents.Phase.ANSWERED,
        retention_s=86400.0,
        max_entries=10**6,
        answer=answer,
    )
    return opened, closed


def set_floor():
    """Return the command that sets the floor of an account."""
    return accounts.SetFloor(PRODUCTION, ACCOUNT, 1_000_000, 17, 2500.0, 0.0)


def ask_tokens():
    """Return the TokenRequest of one request."""
    return token_messages.TokenRequest(
        ids.TokenRequestId(OWNER, 1_000_000), ACCOUNT, 2300, 0, 10.0
    )


def tokens_granted():
    """Return the response to a TokenRequest."""
    return token_messages.TokensGranted(
        ids.TokenRequestId(OWNER, 1_000_000),
        ACCOUNT,
        10**6,
        2300,
        0,
        100.0,
        10_000,
    )


def refund_tokens():
    """Return the message that refunds unused tokens."""
    return token_messages.RefundTokens(
        ids.TokenRequestId(OWNER, 1_000_000), ACCOUNT, 10**6, 1, 300, True
    )


def ask_place():
    """Return the PlaceRequest of one request."""
    return place_messages.PlaceRequest(
        request=ids.RequestId('1000000-1'),
        owner=OWNER,
        account=ACCOUNT,
        model=MODEL,
        prompt_tokens=2000,
        output_tokens=300,
        interactive=True,
        patience_s=10.0,
        prefix=(2**63, 2**62, 2**61),
        number=1_000_000,
    )


def place_granted():
    """Return the response to a PlaceRequest."""
    return place_messages.PlaceGranted(
        ids.ServerId('prefill-0123'), ids.ServerId('decode-0123')
    )


def release_place():
    """Return the message that releases the place of a request."""
    return place_messages.ReleasePlace(OWNER, MODEL, 1_000_000)


def freshness_round():
    """Return a FreshnessRequest and its response."""
    return (
        log_messages.FreshnessRequest(1_000_000, 10**7),
        log_messages.FreshnessResponse(1_000_000, 10**7),
    )


def state_of_vms(count):
    """Return a replicated state with `count` open sessions."""
    state = machine.State()
    for number in range(count):
        state.apply(number + 1, session(number))
    return state


def state_of_servers(count):
    """Return a replicated state with `count` backend servers."""
    state = machine.State()
    for number in range(count):
        state.apply(number + 1, servers.JoinServer(server(number)))
    return state


def state_of_accounts(count):
    """Return a replicated state with `count` accounts, all claimed."""
    state = machine.State()
    state.apply(1, session(123))
    initial_document = document(count)
    state.apply(2, submission(lookups.EMPTY_DOCUMENT, initial_document))
    state.apply(3, promotion(1))
    for number, held in enumerate(initial_document.accounts):
        claim = accounts.ClaimAccount(
            PRODUCTION, held.id, session(123).owner, 0, 10_000.0
        )
        state.apply(number + 4, claim)
    return state


def state_of_intents(count):
    """Return a replicated state with `count` answered calls."""
    state = machine.State()
    index = 0
    for number in range(count):
        for command in intent_commands(number):
            index += 1
            state.apply(index, command)
    return state
