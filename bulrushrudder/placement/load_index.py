"""Index of servers by load, to find the least loaded without a scan."""

import heapq


class LoadIndex:
    """Heap of members by load.

    Outdated entries are dropped when they come up, so that an update
    takes logarithmic time.
    """

    def __init__(self):
        self._load_by_member = {}
        self._heap = []

    def __len__(self):
        """Return the number of members."""
        return len(self._load_by_member)

    def set(self, member, load):
        """Set the load of a member, adding it if it is new."""
        if self._load_by_member.get(member) == load:
            return
        self._load_by_member[member] = load
        heapq.heappush(self._heap, (load, member))
        if len(self._heap) > 64 + 4 * len(self._load_by_member):
            self._compact()

    def remove(self, member):
        """Remove a member."""
        self._load_by_member.pop(member, None)

    def lowest(self, limit):
        """Return up to `limit` members with the lowest loads, in order."""
        lowest = []
        while self._heap and len(lowest) < limit:
            item = heapq.heappop(self._heap)
            current = self._load_by_member.get(item[1]) == item[0]
            if current and item not in lowest:
                lowest.append(item)
        for item in lowest:
            heapq.heappush(self._heap, item)
        return [member for _, member in lowest]

    def _compact(self):
        self._heap = [(v, m) for m, v in self._load_by_member.items()]
        heapq.heapify(self._heap)
