"""Prompt prefixes in the caches of prefill servers."""

import collections
import dataclasses
import itertools

import xxhash

FIRST_BLOCK_BYTES = 1024
MAX_DIGESTS = 8
BYTES_PER_TOKEN = 4
MAX_DIGESTS_PER_SERVER = 4096
MAX_CANDIDATES = 4
# Confidence in the estimated contents after a lost event, and its
# increase with each event without a gap.
TRUST_AFTER_GAP = 0.5
TRUST_STEP = 0.1


def digests(prompt):
    """Return digests of prefixes of a prompt, each twice as long.

    :param prompt: bytes.
    :returns: integers, shortest prefix first; no prefix is longer than
        the prompt.
    """
    prefix_digests = []
    length = FIRST_BLOCK_BYTES
    while length <= len(prompt) and len(prefix_digests) < MAX_DIGESTS:
        prefix_digests.append(xxhash.xxh3_64_intdigest(prompt[:length]))
        length *= 2
    return tuple(prefix_digests)


def prefix_tokens(index):
    """Return the approximate tokens of the prefix at a digest index."""
    return (FIRST_BLOCK_BYTES << index) // BYTES_PER_TOKEN


@dataclasses.dataclass(slots=True)
class _Cache:
    """Estimated contents of a server's cache.

    :param sequence: of the last event, None before the first.
    :param trust: confidence in the contents, up to 1.
    """

    incarnation: int
    sequence: int | None = None
    trust: float = 1.0
    digests: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class PrefixCaches:
    """Estimated contents of the prefix caches of prefill servers.

    Grants add to them at once; cache events correct them later.
    """

    def __init__(self):
        self._caches_by_server = {}
        self._servers_by_digest = {}

    def join(self, server, incarnation):
        """Start with an empty cache if the incarnation is new."""
        cache = self._caches_by_server.get(server)
        if cache is not None and cache.incarnation == incarnation:
            return
        self.leave(server)
        self._caches_by_server[server] = _Cache(incarnation)

    def leave(self, server):
        """Remove a server."""
        cache = self._caches_by_server.pop(server, None)
        for digest in cache.digests if cache else ():
            self._unlink(server, digest)

    def record_grant(self, server, prefix):
        """Record that a prompt is sent to a server."""
        cache = self._caches_by_server.get(server)
        if cache is not None:
            self._store(server, cache, prefix)

    def changed(self, event):
        """Apply a CacheChanged event."""
        cache = self._caches_by_server.get(event.server)
        if cache is None or cache.incarnation != event.incarnation:
            return
        if cache.sequence is not None and event.sequence <= cache.sequence:
            return
        self._update_trust(cache, event.sequence)
        cache.sequence = event.sequence
        for digest in event.removed:
            if cache.digests.pop(digest, False) is not False:
                self._unlink(event.server, digest)
        self._store(event.server, cache, event.stored)

    def matches(self, prefix):
        """Return up to MAX_CANDIDATES servers with the longest known prefix.

        :returns: pairs of a server and the tokens estimated to be cached.
        """
        for index in reversed(range(len(prefix))):
            servers = self._servers_by_digest.get(prefix[index])
            if servers:
                first = itertools.islice(servers, MAX_CANDIDATES)
                return [(s, self.cached_tokens(s, prefix)) for s in first]
        return []

    def cached_tokens(self, server, prefix):
        """Return the estimated tokens of a prompt that a server has cached."""
        cache = self._caches_by_server.get(server)
        if cache is None:
            return 0.0
        for index in reversed(range(len(prefix))):
            if prefix[index] in cache.digests:
                return prefix_tokens(index) * cache.trust
        return 0.0

    def _update_trust(self, cache, sequence):
        if cache.sequence is not None and sequence > cache.sequence + 1:
            cache.trust = TRUST_AFTER_GAP
        else:
            cache.trust = min(1.0, cache.trust + TRUST_STEP)

    def _store(self, server, cache, stored):
        for digest in stored:
            cache.digests[digest] = None
            cache.digests.move_to_end(digest)
            self._servers_by_digest.setdefault(digest, {})[server] = None
        while len(cache.digests) > MAX_DIGESTS_PER_SERVER:
            digest, _ = cache.digests.popitem(last=False)
            self._unlink(server, digest)

    def _unlink(self, server, digest):
        servers = self._servers_by_digest[digest]
        servers.pop(server, None)
        if not servers:
            del self._servers_by_digest[digest]
