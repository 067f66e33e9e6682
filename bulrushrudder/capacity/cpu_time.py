"""Processor time of steps, measured at several sizes, in seconds."""

import dataclasses
import time

from bulrushrudder.benchmarks import slopes
from bulrushrudder.capacity import samples
from bulrushrudder.core import ranking
from bulrushrudder.protocol import codec
from bulrushrudder.state import servers

ACCOUNT_SIZES = (1000, 4000, 17_000)
SERVER_SIZES = (950, 1900, 3800)
MEMBER_SIZES = (15, 100, 400)
REPEATS_PER_SIZE = 20
CALLS_PER_RUN = 2000


def measure_document_change():
    """Fit the time of a submission and promotion over the accounts."""
    values = [_document_change_s(size) for size in ACCOUNT_SIZES]
    return slopes.fit(ACCOUNT_SIZES, values)


def measure_server_change():
    """Fit the time to apply a server's change over the servers."""
    values = [_server_change_s(size) for size in SERVER_SIZES]
    return slopes.fit(SERVER_SIZES, values)


def measure_ranking_choice():
    """Fit the time of a rendezvous choice over the members."""
    values = [_choice_s(size) for size in MEMBER_SIZES]
    return slopes.fit(MEMBER_SIZES, values)


def measure_message_s():
    """Return the seconds to encode and decode a PlaceRequest."""
    question = samples.ask_place()
    codec.decode(codec.encode(question))

    def run_once():
        for _ in range(CALLS_PER_RUN):
            codec.decode(codec.encode(question))

    return _fastest_run_s(run_once) / CALLS_PER_RUN


def _document_change_s(size):
    state = samples.state_of_accounts(size)
    return min(_single_change_s(state) for _ in range(REPEATS_PER_SIZE))


def _single_change_s(state):
    before = state.documents.in_force(samples.PRODUCTION)
    after = samples.changed(before)
    submission = samples.submission(before, after)
    promotion = samples.promotion(after.version)
    begin_s = time.perf_counter()
    state.apply(state.index + 1, submission)
    state.apply(state.index + 1, promotion)
    return time.perf_counter() - begin_s


def _server_change_s(size):
    state = samples.state_of_servers(size)
    encoded_joins = [
        codec.encode(
            servers.JoinServer(
                dataclasses.replace(samples.server(number), places=21)
            )
        )
        for number in range(CALLS_PER_RUN // 10)
    ]

    def run_once():
        for data in encoded_joins:
            state.apply(state.index + 1, codec.decode(data).unwrap())

    return _fastest_run_s(run_once) / len(encoded_joins)


def _choice_s(size):
    members = [f'vm-{number:03}' for number in range(size)]

    def run_once():
        for number in range(CALLS_PER_RUN // 10):
            ranking.choose(f'account/{number}', members)

    return _fastest_run_s(run_once) / (CALLS_PER_RUN // 10)


def _fastest_run_s(run_once):
    fastest_s = float('inf')
    for _ in range(5):
        begin_s = time.perf_counter()
        run_once()
        fastest_s = min(fastest_s, time.perf_counter() - begin_s)
    return fastest_s
