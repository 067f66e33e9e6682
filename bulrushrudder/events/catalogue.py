"""The catalogue of log events."""

import dataclasses
import enum


class Level(enum.Enum):
    """Severity of an event."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A type of log event.

    :param number: permanent; not reused when an event is removed.
    :param meaning: what happened, to what, and what follows; for
        operators also what to do.
    """

    number: int
    level: Level
    name: str
    meaning: str


ENTRY_STARTED = Event(
    1001, Level.INFO, 'entry started', 'The entry process is listening.'
)
ENTRY_STOPPING = Event(
    1002,
    Level.INFO,
    'entry stopping',
    'The entry process was told to stop and reports unready; it accepts '
    'calls until event 1006.',
)
ENTRY_STOPPED = Event(
    1003,
    Level.INFO,
    'entry stopped',
    'The entry process has finished all requests.',
)
REQUEST_REFUSED = Event(
    1101,
    Level.INFO,
    'request refused',
    'A request was refused before it ran; docs/CALLERS.md lists the reasons.',
)
REQUEST_FAILED = Event(
    1102,
    Level.WARNING,
    'request failed',
    'A request that may have run got no complete answer.',
)
ATTEMPT_FAILED = Event(
    1103,
    Level.WARNING,
    'attempt failed',
    'An attempt on a backend server failed; the reason says how.',
)
PLACE_GRANTED = Event(
    1111,
    Level.INFO,
    'place granted',
    'A request got a place on servers; the log view that the decision was '
    'based on has the given index and age.',
)
PREFILL_DONE = Event(
    1112,
    Level.INFO,
    'prefill done',
    'A server has finished the prefill of a request.',
)
DECODE_STARTED = Event(
    1113,
    Level.INFO,
    'decode started',
    'A server has started to answer a request.',
)
RETRY_DECIDED = Event(
    1114,
    Level.INFO,
    'retry decided',
    'A request will be retried after the given delay.',
)
REQUEST_ANSWERED = Event(
    1115,
    Level.INFO,
    'request answered',
    'A request was answered completely.',
)
CALL_ATTEMPTED = Event(
    1116,
    Level.INFO,
    'call attempted',
    'A call was sent to a server of a plain service; the outcome is the '
    'status of the answer or the reason why there is none.',
)
CALLER_GONE = Event(
    1117,
    Level.INFO,
    'caller gone',
    'A caller disconnected before its answer was complete; its request is '
    'cancelled.',
)
SERVER_INSPECTED = Event(
    1118,
    Level.INFO,
    'server inspected',
    'After an attempt failed, it was checked whether its server accepts '
    'connections.',
)
WAIT_ENDED = Event(
    1119,
    Level.INFO,
    'wait ended',
    'A request was refused while it waited for the tokens of its account or '
    'for a place on servers; so many VMs host roles.',
)
ORPHANS_CANCELLED = Event(
    1104,
    Level.INFO,
    'orphans cancelled',
    'A backend server is ordered to free all attempts of an entry process '
    'whose session has ended.',
)
SUSPECT_REPORTED = Event(
    1105,
    Level.WARNING,
    'suspect reported',
    'A backend server crashed while it ran a request; after two isolated '
    'crashes, in which no other request was suspected, the request is '
    'quarantined. Parts are those of its prompt that others share, if it '
    'had not produced output.',
)
PART_QUARANTINED = Event(
    1107,
    Level.WARNING,
    'part quarantined',
    'Backend servers crashed under several requests that share a part of '
    'their prompts; requests with it are refused.',
)
SUSPECTS_FORGOTTEN = Event(
    1108,
    Level.INFO,
    'suspects forgotten',
    'Suspect prompt parts did not change for as long as they are kept.',
)
PARTS_TRIED = Event(
    1109,
    Level.INFO,
    'parts tried',
    'Requests with quarantined prompt parts run again until the next crash.',
)
CRASH_REPORT_DROPPED = Event(
    1110,
    Level.WARNING,
    'crash report dropped',
    'The report of a crash could not be committed for as long as it is kept.',
)
STOP_PENDING = Event(
    1106,
    Level.WARNING,
    'stop pending',
    'Another stop signal arrived; the process still waits until the given '
    'number of calls is answered. Killing it would cut off their answers.',
)
ENTRY_DRAINING = Event(
    1006,
    Level.INFO,
    'entry draining',
    'The entry process refuses new calls from now on; the given number of '
    'calls is in flight.',
)
CALLS_ABANDONED = Event(
    1007,
    Level.WARNING,
    'calls abandoned',
    'The time to stop ran out before the given number of calls was answered.',
)
HTTP_INVALID = Event(
    1502,
    Level.WARNING,
    'http invalid',
    'A peer sent invalid HTTP, or its headers did not arrive in time; the '
    'connection is closed.',
)
CLIENTS_CLOSED = Event(
    1503,
    Level.WARNING,
    'clients closed',
    'So many connections of clients were closed for the given reason since '
    'the last such line; docs/design/untrusted-clients.md has the order.',
)
CLIENTS_WAIT = Event(
    1504,
    Level.WARNING,
    'clients wait',
    'No further connections of clients are accepted for a moment, because '
    'those that are open take all the room; so often since the last such '
    'line.',
)
BACKEND_DENIED = Event(
    1501,
    Level.WARNING,
    'backend denied',
    'A call to the backends listener was refused because it did not '
    'present the secret.',
)
SETTINGS_RELOADED = Event(
    1004,
    Level.INFO,
    'settings reloaded',
    'The settings file was reloaded; its addresses of control processes are '
    'in force.',
)
SETTINGS_REFUSED = Event(
    1005,
    Level.ERROR,
    'settings refused',
    'The settings file is invalid; the previous settings stay in force.',
)
CONTROL_STARTED = Event(
    2001, Level.INFO, 'control started', 'The control process is listening.'
)
CONTROL_STOPPED = Event(
    2002, Level.INFO, 'control stopped', 'The control process has stopped.'
)
LEADERSHIP_GAINED = Event(
    2003,
    Level.INFO,
    'leadership gained',
    'This control process is now the leader of the log.',
)
LEADERSHIP_LOST = Event(
    2004,
    Level.INFO,
    'leadership lost',
    'This control process is no longer the leader of the log.',
)
SESSION_EXPIRED = Event(
    2005,
    Level.WARNING,
    'session expired',
    'The lease of an entry process ran out without contact; its session is '
    'closed.',
)
CONTROL_STOPPING = Event(
    2006,
    Level.INFO,
    'control stopping',
    'A stop was requested, or the disk has failed: leadership is '
    'transferred, new requests are refused, and the given number of '
    'requests is finished.',
)
DATA_FOLDER_UNUSABLE = Event(
    2201,
    Level.ERROR,
    'data folder unusable',
    'The data folder cannot be used, so the process does not start; the '
    'detail says what to do.',
)
TORN_TAIL_TRUNCATED = Event(
    2202,
    Level.INFO,
    'torn tail truncated',
    'A crash interrupted the last write to the log, which had not been '
    'acknowledged; the incomplete bytes were removed.',
)
DISK_FULL = Event(
    2203,
    Level.ERROR,
    'disk full',
    'The disk is full; changes are refused until there is free space. A '
    'process that cannot sync what it has already taken waits for space '
    'and is passed over by the others meanwhile.',
)
DISK_WRITABLE = Event(
    2206,
    Level.INFO,
    'disk writable',
    'The disk takes changes again.',
)
ALLOCATION_FAILED = Event(
    2207,
    Level.ERROR,
    'allocation failed',
    'The disk did not allocate space for a change, although it is not full; '
    'changes are refused and everything else goes on. Check the disk.',
)
SYNC_FAILED = Event(
    2205,
    Level.ERROR,
    'sync failed',
    'A sync failed, so it is unknown which data reached the disk, and the '
    'process stops; replace the disk, or start the process again if the '
    'disk is sound.',
)
MEMBER_ADDED = Event(
    2301,
    Level.INFO,
    'member added',
    'The leader added a control process that asked for the log; it gets '
    'the log and does not vote yet.',
)
MEMBER_PROMOTED = Event(
    2302,
    Level.INFO,
    'member promoted',
    'The leader made a control process that has caught up a voter. The '
    'number of further voters that may be lost is given.',
)
MEMBER_REMOVED = Event(
    2303,
    Level.INFO,
    'member removed',
    'The leader removed a control process for the given reason. If it is '
    'running, it joins again by itself.',
)
MEMBER_MOVED = Event(
    2304,
    Level.INFO,
    'member moved',
    'A control process has come back at another address.',
)
MEMBER_DEMOTED = Event(
    2306,
    Level.INFO,
    'member demoted',
    'The leader took the vote from a control process for the given reason; '
    'it gets the log, and the vote again once it is back.',
)
MEMBERS_COMMITTED = Event(
    2305,
    Level.INFO,
    'members committed',
    'A change of members is committed, as known to this process; repeated '
    'for the changes in its log when it starts again.',
)
DOCUMENT_ACCEPTED = Event(
    2101,
    Level.INFO,
    'document accepted',
    'A document was committed to the log and is being sent to every VM.',
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
    'A call to the operators listener was refused because it did not '
    'present the secret.',
)
LINK_OPENED = Event(
    3001,
    Level.DEBUG,
    'link opened',
    'A link to another process was established.',
)
LINK_CLOSED = Event(
    3002, Level.INFO, 'link closed', 'A link to another process was closed.'
)
LINK_REFUSED = Event(
    3003,
    Level.WARNING,
    'link refused',
    'The handshake with a peer failed, for example because its protocol '
    'version or cluster secret differs; the link is closed.',
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
    'A control process did not confirm the log view in time; the entry '
    'process connects to the next one.',
)
VIEW_STALE = Event(
    3101,
    Level.WARNING,
    'view stale',
    'No control process has confirmed the log view in time; requests on '
    'routes that need a key are refused.',
)
PEER_SUSPECTED = Event(
    3111,
    Level.WARNING,
    'peer suspected',
    'A VM could not be reached; its roles without durable state move to the '
    'next VM.',
)
PEER_REACHED = Event(
    3112,
    Level.INFO,
    'peer reached',
    'A VM that could not be reached is reachable again or has restarted.',
)
PATH_LOST = Event(
    3201,
    Level.WARNING,
    'path lost',
    'This VM cannot connect to a backend server, and the given VM can: '
    'connections to the server go through other VMs until a direct one '
    'succeeds.',
)
PATH_RESTORED = Event(
    3202,
    Level.INFO,
    'path restored',
    'This VM connects to a backend server directly again.',
)
RELAYING = Event(
    3203,
    Level.INFO,
    'relaying',
    'This VM relays connections of another VM to backend servers, of which '
    'it has opened one to the given server. At most one line a VM in 10 s.',
)
VIEW_FRESH = Event(
    3102, Level.INFO, 'view fresh', 'The log view is confirmed as fresh again.'
)
MESSAGE_TOO_LARGE = Event(
    3005,
    Level.ERROR,
    'message too large',
    'A message to another process exceeds the largest frame and was not '
    'sent; the link stays open.',
)
SERVER_JOINED = Event(
    4001,
    Level.INFO,
    'server joined',
    'A backend server announced itself and is available for requests.',
)
ANNOUNCEMENT_INVALID = Event(
    4003,
    Level.WARNING,
    'announcement invalid',
    'The announcement of a backend server is invalid; its previous state '
    'stays.',
)
SERVER_COLD = Event(
    4015,
    Level.INFO,
    'server cold',
    'A backend server announced that it has become cold; all VMs together '
    'send it no more than the given rate, until it announces that it is not.',
)
SERVER_WARM = Event(
    4016,
    Level.INFO,
    'server warm',
    'A backend server announced that it is no longer cold.',
)
COLD_CALL_HELD_BACK = Event(
    4017,
    Level.INFO,
    'call to cold server held back',
    'A request was not sent to a backend server that counts as cold, because '
    'its rate leaves no room in time or no coordinator answered. At most one '
    'line a second, with the number of requests since the last one.',
)
KIND_CHANGE_ORDERED = Event(
    4004,
    Level.INFO,
    'kind change ordered',
    'The leader ordered an engine to change its kind; the outcome says '
    'whether the engine accepted.',
)
SERVER_LEFT = Event(
    4002,
    Level.INFO,
    'server left',
    'A backend server gets no new requests: it is leaving, is silent, or is '
    'excluded for a change of its kind.',
)
STREAM_TAKEN_UP = Event(
    1212,
    Level.INFO,
    'stream taken up',
    'A caller takes up again a stream that broke off, after the given event; '
    'the stream began with the request named as resumed.',
)
SERVER_LIMIT_STATED = Event(
    4011,
    Level.INFO,
    'server limit stated',
    'A backend server stated in an answer how many requests a second it '
    'takes from all VMs together; without a number, the limit has ended.',
)
SERVER_LEAVING_STATED = Event(
    4012,
    Level.INFO,
    'server leaving stated',
    'A backend server stated in an answer that it is leaving.',
)
SERVER_PAUSE_STATED = Event(
    4013,
    Level.INFO,
    'server pause stated',
    'A backend server refused a request of this VM and asked for a pause.',
)
CALL_DEFERRED = Event(
    1211,
    Level.INFO,
    'call deferred',
    'A call was refused because all backend servers of its plain service '
    'limit their requests, and none takes it in time.',
)
STATEMENT_INVALID = Event(
    4014,
    Level.WARNING,
    'statement invalid',
    'A header by which a backend server states something about itself '
    'cannot be read; it is ignored. At most one line a server and minute.',
)
ZONE_EVACUATED = Event(
    2401,
    Level.INFO,
    'zone evacuated',
    'A quorum has the order that no request be sent to the backend servers '
    'of a zone; what runs there goes on. A repeated order changes nothing.',
)
ZONE_RESTORED = Event(
    2402,
    Level.INFO,
    'zone restored',
    'A quorum has the order that the backend servers of a zone get requests '
    'again. A repeated order changes nothing.',
)
ZONE_ORDER_FAILED = Event(
    2403,
    Level.WARNING,
    'zone order failed',
    'An order to evacuate or restore a zone was not acknowledged, because no '
    'quorum had it in time; give the order again.',
)
EVACUATIONS_APPLIED = Event(
    4018,
    Level.INFO,
    'evacuations applied',
    'The view of this VM has other evacuated zones than before; the line '
    'lists all of them and gives the index of the view.',
)
PLACES_REFUSED = Event(
    4021,
    Level.INFO,
    'places refused',
    'The coordinators of this VM refused servers to requests, while requests '
    'of several ranks came; the fields give the numbers by rank since the '
    'last such line, and of those that wait now. At most one line in 10 s.',
)
ZONES_DECIDED = Event(
    4024,
    Level.INFO,
    'zones decided',
    'The coordinator of a model or service decided anew which share of the '
    'work of each availability zone leaves it, and where to; no share means '
    'that all work stays in its zone.',
)
SPARE_TOKENS_GRANTED = Event(
    5101,
    Level.INFO,
    'spare tokens granted',
    'The authority of an account did not answer; the entry process granted '
    "the tokens from its share of the account's spare tokens.",
)
ACCOUNT_CLAIMED = Event(
    5102,
    Level.INFO,
    'account claimed',
    'This VM proposed to become the authority of an account whose row had '
    'the given epoch; the outcome is that of the log.',
)
ACCOUNT_RELEASED = Event(
    5103,
    Level.INFO,
    'account released',
    'This VM proposed to cease to be the authority of an account; the '
    'outcome is that of the log.',
)
LINES_DROPPED = Event(
    9003,
    Level.WARNING,
    'lines dropped',
    'The given number of log lines were dropped since the last such line, '
    'because they exceeded the rate limit or were not read in time.',
)
UNEXPECTED = Event(
    9001,
    Level.ERROR,
    'unexpected error',
    'An invariant was violated; report the event with its detail.',
)


def all_events():
    """Return all events of the catalogue, ordered by number."""
    events = [v for v in globals().values() if isinstance(v, Event)]
    return tuple(sorted(events, key=lambda event: event.number))
