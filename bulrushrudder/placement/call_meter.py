"""Measures the calls of a VM to a plain service, for its coordinator."""

import collections
import dataclasses

from bulrushrudder.placement import service_zones

# Weight of a call in the mean bytes of calls.
BYTES_EWMA_WEIGHT = 0.05
# Time without calls after which a VM stops reporting a service.
IDLE_S = 10.0


@dataclasses.dataclass(slots=True)
class _ServerMeter:
    """Calls to a server since the last report.

    :param calls: outstanding calls.
    :param changed_s: monotonic seconds of the last change of calls.
    :param busy_s: seconds of all calls together since the last report.
    :param ended: calls that ended.
    :param took_s: seconds that these took.
    """

    calls: int = 0
    changed_s: float = 0.0
    busy_s: float = 0.0
    ended: int = 0
    took_s: float = 0.0

    def change(self, number, now_s):
        """Add some calls, or remove them if the number is negative."""
        self.busy_s += self.calls * (now_s - self.changed_s)
        self.calls += number
        self.changed_s = now_s


class CallMeter:
    """Measures the calls to one service.

    :param now_s: monotonic seconds.
    """

    def __init__(self, now_s):
        self._meters_by_server = collections.defaultdict(_ServerMeter)
        self._asked = 0
        self._last_asked_s = now_s
        self._reported_s = now_s
        self.call_bytes = 0.0

    def is_idle(self, now_s):
        """Return whether nothing needs to be reported."""
        return now_s - self._last_asked_s > IDLE_S

    def record_asked(self, now_s):
        """Record a call of a caller."""
        self._asked += 1
        self._last_asked_s = now_s

    def record_start(self, server_id, now_s):
        """Record that a call is sent to a server."""
        meter = self._meters_by_server[server_id]
        meter.changed_s = meter.changed_s or now_s
        meter.change(1, now_s)

    def record_end(self, server_id, took_s, size, now_s):
        """Record the end of a call.

        :param size: bytes of the call and its response; None if it failed.
        """
        meter = self._meters_by_server[server_id]
        meter.change(-1, now_s)
        if size is None:
            return
        meter.ended += 1
        meter.took_s += took_s
        weight = BYTES_EWMA_WEIGHT if self.call_bytes else 1.0
        self.call_bytes += weight * (size - self.call_bytes)

    def take(self, zone, unreachable, now_s):
        """Return the ServiceLoad since the last report, and start anew.

        :param zone: of this VM.
        :param unreachable: zones in which it reaches no server.
        """
        elapsed_s = max(now_s - self._reported_s, 1e-3)
        servers = []
        for server_id, meter in sorted(self._meters_by_server.items()):
            meter.change(0, now_s)
            call_s = meter.took_s / meter.ended if meter.ended else 0.0
            servers.append(
                service_zones.ServerCalls(
                    server_id, meter.busy_s / elapsed_s, call_s
                )
            )
            meter.busy_s = meter.took_s = 0.0
            meter.ended = 0
            if not meter.calls:
                del self._meters_by_server[server_id]
        asked, self._asked = self._asked, 0
        self._reported_s = now_s
        return service_zones.ServiceLoad(
            zone,
            asked / elapsed_s,
            self.call_bytes,
            tuple(servers),
            tuple(sorted(unreachable)),
        )
