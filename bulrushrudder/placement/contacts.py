"""What a coordinator knows about other coordinators of its model."""

from bulrushrudder.placement import events

# Within this time after the last contact with the control group, a VM would
# know of another one that is in charge. Sessions are confirmed each 0.25 s.
CONTACT_S = 1.0
# A coordinator that is newly in charge waits until the one before has been
# in contact or has noticed that it is not, and its permits have run out.
SETTLED_S = 1.25
# A view that is older says nothing about whether a server is cold; the
# servers' lease.
UNHEARD_S = 3.0


class Contact:
    """Tells whether this VM alone is in charge of a model."""

    def __init__(self):
        self._elected_since_s = None
        self._last = None

    def elect(self, elected, now_s):
        """Record whether this VM is in charge by all sessions of its view.

        :param now_s: monotonic seconds.
        """
        if not elected:
            self._elected_since_s = None
        elif self._elected_since_s is None:
            self._elected_since_s = now_s

    def changes(self, age_s, now_s):
        """Return a ContactChanged event if there is a change.

        :param age_s: seconds since the view was known to be current.
        :param now_s: monotonic seconds.
        """
        elected = self._elected_since_s is not None
        settled = elected and now_s - self._elected_since_s >= SETTLED_S
        current = events.ContactChanged(
            sole=settled and age_s <= CONTACT_S,
            elected=elected,
            heard=age_s <= UNHEARD_S,
        )
        if current == self._last:
            return ()
        self._last = current
        return (current,)
