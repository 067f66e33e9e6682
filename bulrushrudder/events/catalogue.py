"""Every log event, with its number and what it means."""

import dataclasses
import enum


class Level(enum.Enum):
    """How urgent an event is."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A kind of log event.

    :param number: never changes and is never used again.
    :param meaning: what happened and, where needed, what to do.
    """

    number: int
    level: Level
    name: str
    meaning: str


ENTRY_STARTED = Event(
    1001, Level.INFO, 'entry started', 'The entry process listens.'
)
ENTRY_STOPPING = Event(
    1002,
    Level.INFO,
    'entry stopping',
    'The entry takes no new work and finishes what is in flight.',
)
ENTRY_STOPPED = Event(
    1003, Level.INFO, 'entry stopped', 'The entry has finished all work.'
)
REQUEST_REFUSED = Event(
    1101,
    Level.INFO,
    'request refused',
    'A caller was refused; the reason is numbered in docs/CALLERS.md.',
)
REQUEST_FAILED = Event(
    1102,
    Level.WARNING,
    'request failed',
    'A request that had started got no whole answer.',
)
ATTEMPT_FAILED = Event(
    1103,
    Level.WARNING,
    'attempt failed',
    'A backend server did not finish an attempt.',
)
PLACE_GRANTED = Event(
    1111,
    Level.INFO,
    'place granted',
    'A request got servers; the view that its entry decided from has the '
    'given index and age.',
)
PREFILL_DONE = Event(
    1112,
    Level.INFO,
    'prefill done',
    'A server has read the prompt of a request.',
)
DECODE_BEGUN = Event(
    1113,
    Level.INFO,
    'decode begun',
    'A server has begun to answer a request.',
)
RETRY_DECIDED = Event(
    1114,
    Level.INFO,
    'retry decided',
    'A request is tried again after a delay.',
)
REQUEST_ANSWERED = Event(
    1115,
    Level.INFO,
    'request answered',
    'A caller got a whole answer.',
)
CALL_TRIED = Event(
    1116,
    Level.INFO,
    'call tried',
    'A server of a plain service had a call; the outcome is its status or '
    'the reason why there is none.',
)
CALLER_GONE = Event(
    1117,
    Level.INFO,
    'caller gone',
    'A caller left before its answer was whole; its request is cancelled.',
)
ORPHANS_CANCELLED = Event(
    1104,
    Level.INFO,
    'orphans cancelled',
    'A backend server is told to free all attempts of an entry process '
    'that is gone.',
)
SUSPECT_REPORTED = Event(
    1105,
    Level.WARNING,
    'suspect reported',
    'A backend server crashed while it ran a request; after two crashes '
    'of its own the request is quarantined.',
)
STOP_WAITS = Event(
    1106,
    Level.WARNING,
    'stop waits',
    'A second signal came; the process goes on until these requests are '
    'whole. A kill would cut them.',
)
HTTP_INVALID = Event(
    1502,
    Level.WARNING,
    'http invalid',
    'A peer sent bytes that are no HTTP, or sent its headers too slowly.',
)
BACKEND_DENIED = Event(
    1501,
    Level.WARNING,
    'backend denied',
    'A call to the backends listener came without its secret.',
)
SETTINGS_RELOADED = Event(
    1004,
    Level.INFO,
    'settings reloaded',
    'The settings file was read again and its addresses are in force.',
)
SETTINGS_REFUSED = Event(
    1005,
    Level.ERROR,
    'settings refused',
    'The settings file cannot be used; what was in force stays.',
)
CONTROL_STARTED = Event(
    2001, Level.INFO, 'control started', 'The control process listens.'
)
CONTROL_STOPPED = Event(
    2002, Level.INFO, 'control stopped', 'The control process has ended.'
)
LEADER_BEGAN = Event(
    2003, Level.INFO, 'leader began', 'This control process leads the log.'
)
LEADER_ENDED = Event(
    2004,
    Level.INFO,
    'leader ended',
    'This control process no longer leads the log.',
)
SESSION_EXPIRED = Event(
    2005,
    Level.WARNING,
    'session expired',
    'An entry process was silent for its lease; its session is closed.',
)
DATA_FOLDER_UNUSABLE = Event(
    2201,
    Level.ERROR,
    'data folder unusable',
    'The process does not start; the detail says what to do.',
)
TORN_TAIL_CUT = Event(
    2202,
    Level.INFO,
    'torn tail cut',
    'A crash cut off the last write, which nobody had been told of.',
)
DISK_FULL = Event(
    2203,
    Level.ERROR,
    'disk full',
    'Changes are refused until there is room; everything else goes on.',
)
DISK_FULL_STOP = Event(
    2204,
    Level.ERROR,
    'disk full stop',
    'Not even a vote fits; make room and start the process again.',
)
SYNC_FAILED = Event(
    2205,
    Level.ERROR,
    'sync failed',
    'Nobody can say what reached the disk, so the process stops; replace '
    'the disk, or start the process again if the disk is sound.',
)
DOCUMENT_ACCEPTED = Event(
    2101,
    Level.INFO,
    'document accepted',
    'A document is committed and on its way to every VM.',
)
DOCUMENT_REFUSED = Event(
    2102,
    Level.INFO,
    'document refused',
    'A submission or promotion was refused; the detail says why.',
)
OPERATOR_DENIED = Event(
    2501,
    Level.WARNING,
    'operator denied',
    'A call to the operators listener came without its secret.',
)
LINK_OPENED = Event(
    3001, Level.DEBUG, 'link opened', 'A link to another process is up.'
)
LINK_CLOSED = Event(
    3002, Level.INFO, 'link closed', 'A link to another process ended.'
)
LINK_REFUSED = Event(
    3003,
    Level.WARNING,
    'link refused',
    'The peer speaks another version or lacks the cluster secret.',
)
MESSAGE_INVALID = Event(
    3004,
    Level.WARNING,
    'message invalid',
    'A message could not be decoded; the link is closed.',
)
CONTROL_SILENT = Event(
    3103,
    Level.WARNING,
    'control silent',
    'A control process did not vouch in time; the entry tries the next.',
)
VIEW_STALE = Event(
    3101,
    Level.WARNING,
    'view stale',
    'No control VM vouches for this view; keyed routes are refused.',
)
PEER_SUSPECTED = Event(
    3111,
    Level.WARNING,
    'peer suspected',
    'A VM could not be reached; the next one plays its soft roles.',
)
PEER_REACHED = Event(
    3112,
    Level.INFO,
    'peer reached',
    'A VM that could not be reached can be again, or has started anew.',
)
VIEW_FRESH = Event(
    3102, Level.INFO, 'view fresh', 'The view of the log is fresh again.'
)
SERVER_JOINED = Event(
    4001,
    Level.INFO,
    'server joined',
    'A backend server announced itself.',
)
ANNOUNCEMENT_INVALID = Event(
    4003,
    Level.WARNING,
    'announcement invalid',
    'A backend server announced itself in a way that cannot be read; '
    'what is known of it stays.',
)
SERVER_ORDERED = Event(
    4004,
    Level.INFO,
    'server ordered',
    'The leader had a server of engines change its kind.',
)
SERVER_LEFT = Event(
    4002,
    Level.INFO,
    'server left',
    'A backend server gets no new work: it leaves, is silent, or is set '
    'aside for an order.',
)
TOKENS_SPARED = Event(
    5101,
    Level.INFO,
    'tokens spared',
    "An account's authority was silent; the entry granted from its part "
    'of what the account may get over its grant.',
)
LINES_LEFT_OUT = Event(
    9003,
    Level.WARNING,
    'lines left out',
    'So many log lines were left out in the second before, above the '
    'rate or since nobody read them in time.',
)
UNEXPECTED = Event(
    9001,
    Level.ERROR,
    'unexpected error',
    'An invariant broke; report the event with its detail.',
)


def all_events():
    """Return every event of the catalogue in the order of numbers."""
    events = [v for v in globals().values() if isinstance(v, Event)]
    return tuple(sorted(events, key=lambda event: event.number))
