"""Evacuates and restores availability zones on behalf of operators."""

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.state import evacuations
from bulrushrudder.state import results

# Operators go on to another process after this time. An order that was
# proposed later could undo a newer one.
ORDER_TIMEOUT_S = 1.0


class ZoneOrders:
    """Commits orders about zones.

    :param node: the Node of this control process.
    """

    def __init__(self, node):
        self._node = node

    async def evacuate(self, zone, operator):
        """Have nothing more sent to the servers of a zone.

        :param operator: who ordered it, for the log.
        :returns: the Outcome; Accepted once a quorum has the order.
        """
        return await self._commit(
            evacuations.evacuate(zone), zone, operator, evacuated=True
        )

    async def restore(self, zone, operator):
        """Put a zone back in service.

        :param operator: as for evacuate.
        :returns: the Outcome; Accepted once a quorum has the order.
        """
        return await self._commit(
            evacuations.restore(zone), zone, operator, evacuated=False
        )

    async def _commit(self, command, zone, operator, *, evacuated):
        outcome = await self._node.propose(command, ORDER_TIMEOUT_S)
        match outcome:
            case results.Accepted(index=index, repeated=repeated):
                event = catalogue.ZONE_RESTORED
                if evacuated:
                    event = catalogue.ZONE_EVACUATED
                log.emit(
                    event,
                    zone=zone,
                    index=index,
                    repeated=repeated,
                    operator=operator,
                )
            case _:
                log.emit(
                    catalogue.ZONE_ORDER_FAILED,
                    zone=zone,
                    evacuate=evacuated,
                    detail=outcome.problem,
                    operator=operator,
                )
        return outcome
