"""When the figures of each server were measured or reported last."""


class FigureAges:
    """Times of the last measurement by server."""

    def __init__(self):
        self._measured_s_by_id = {}

    def record(self, server_id, now_s):
        """Record that figures of a server were measured."""
        self._measured_s_by_id[server_id] = now_s

    def age_s(self, server_id, now_s):
        """Return the age of a server's figures, None if none are known."""
        measured_s = self._measured_s_by_id.get(server_id)
        return None if measured_s is None else now_s - measured_s

    def retain(self, server_ids):
        """Forget all other servers."""
        for gone in self._measured_s_by_id.keys() - server_ids:
            del self._measured_s_by_id[gone]
