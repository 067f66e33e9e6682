"""Memory of the observed state at several sizes."""

import gc
import tracemalloc

from bulrushrudder.benchmarks import slopes
from bulrushrudder.capacity import samples

ACCOUNT_SIZES = (1000, 4000, 17_000)
VM_SIZES = (100, 200, 400)
SERVER_SIZES = (950, 1900, 3800)
INTENT_SIZES = (500, 1000, 2000)


def accounts():
    """Return the slope of bytes for a client account, key and row."""
    return _fit(ACCOUNT_SIZES, samples.state_of_accounts)


def vms():
    """Return the slope of bytes for each open session."""
    return _fit(VM_SIZES, samples.state_of_vms)


def servers():
    """Return the slope of bytes for each backend server."""
    return _fit(SERVER_SIZES, samples.state_of_servers)


def intents():
    """Return the slope of bytes for each answered call."""
    return _fit(INTENT_SIZES, samples.state_of_intents)


def allocated(build):
    """Return the bytes that are still allocated after a build."""
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
