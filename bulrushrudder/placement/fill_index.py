"""Servers in the order of a load, without a scan."""

import heapq


class FillIndex:
    """Keeps members by a number and yields those with the least.

    Outdated entries are dropped when they come up, so that a change
    costs the logarithm of the size.
    """

    def __init__(self):
        self._load_by_member = {}
        self._heap = []

    def __len__(self):
        """Return how many members there are."""
        return len(self._load_by_member)

    def set(self, member, load):
        """Set the load of a member; it joins if it is new."""
        if self._load_by_member.get(member) == load:
            return
        self._load_by_member[member] = load
        heapq.heappush(self._heap, (load, member))
        if len(self._heap) > 64 + 4 * len(self._load_by_member):
            self._compact()

    def remove(self, member):
        """Take a member out."""
        self._load_by_member.pop(member, None)

    def lowest(self, limit):
        """Return up to some members with the least load, in order."""
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
