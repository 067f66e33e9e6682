"""Memory of the replicated state, measured at several sizes."""

import gc
import tracemalloc

from bulrushrudder.benchmarks import slopes
from bulrushrudder.capacity import samples

ACCOUNT_SIZES = (1000, 4000, 17_000)
VM_SIZES = (100, 200, 400)
SERVER_SIZES = (950, 1900, 3800)
INTENT_SIZES = (500, 1000, 2000)


def measure_accounts():
    """Fit the bytes per client account with its key and row."""
    return _fit(ACCOUNT_SIZES, samples.state_of_accounts)


def measure_sessions():
    """Fit the bytes per open session."""
    return _fit(VM_SIZES, samples.state_of_vms)


def measure_servers():
    """Fit the bytes per backend server."""
    return _fit(SERVER_SIZES, samples.state_of_servers)


def measure_intents():
    """Fit the bytes per answered call in the register."""
    return _fit(INTENT_SIZES, samples.state_of_intents)


def allocated(build):
    """Return the bytes that the result of `build` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return after - before


def _fit(sizes, build):
    values = [allocated(lambda size=size: build(size)) for size in sizes]
    return slopes.fit(sizes, values)
