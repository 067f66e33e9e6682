"""The state machine of a request."""

import transitions

WAITING = ('admitted', 'waiting_for_tokens', 'queued')
RUNNING = ('prefilling', 'transferring', 'decoding', 'streaming')
BETWEEN_ATTEMPTS = ('inspecting', 'reporting', 'backing_off')
ENDED = ('done', 'refused', 'failed', 'unknown', 'cancelled')
LIVE = WAITING + RUNNING + BETWEEN_ATTEMPTS

_MACHINE = transitions.Machine(
    model=None,
    states=[*LIVE, *ENDED],
    initial='admitted',
    auto_transitions=False,
    transitions=[
        ['ask_tokens', 'admitted', 'waiting_for_tokens'],
        ['skip_tokens', 'admitted', 'queued'],
        ['grant_tokens', 'waiting_for_tokens', 'queued'],
        ['start_prefill', 'queued', 'prefilling'],
        ['start_transfer', ['prefilling', 'queued'], 'transferring'],
        ['start_decode', 'transferring', 'decoding'],
        ['start_stream', 'decoding', 'streaming'],
        ['inspect', list(RUNNING), 'inspecting'],
        ['report', 'inspecting', 'reporting'],
        [
            'back_off',
            ['inspecting', 'reporting', *RUNNING],
            'backing_off',
        ],
        ['try_again', 'backing_off', 'queued'],
        ['finish', ['decoding', 'streaming'], 'done'],
        ['refuse', list(LIVE), 'refused'],
        ['fail', list(LIVE), 'failed'],
        ['lose', list(LIVE), 'unknown'],
        ['cancel', list(LIVE), 'cancelled'],
    ],
)


def apply_trigger(model, trigger):
    """Change the state of a model by a trigger.

    :raises transitions.MachineError: if the trigger is not allowed in
        the state of the model.
    """
    _MACHINE.events[trigger].trigger(model)
