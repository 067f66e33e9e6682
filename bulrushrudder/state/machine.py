"""The replicated state machine; applying commands is deterministic.

Each table has ``snapshot()``, which returns a frozen data class that is
registered with the codec, and ``restore(snapshot)``, which replaces the
table by one.
"""

import dataclasses

from bulrushrudder.documents import types
from bulrushrudder.state import accounts
from bulrushrudder.state import documents
from bulrushrudder.state import evacuations
from bulrushrudder.state import intents
from bulrushrudder.state import pool_targets
from bulrushrudder.state import quarantine
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.state import suspect_parts

# Snapshots of earlier versions have neither of these.
NO_POOLS = pool_targets.PoolTargetsSnapshot(())
NO_SUSPECT_PARTS = suspect_parts.SuspectPartsSnapshot(())


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The whole state at an index of the log.

    :param index: log index of the last entry that it includes.
    """

    index: int
    documents: documents.DocumentsSnapshot
    sessions: sessions.SessionsSnapshot
    servers: servers.ServersSnapshot
    quarantine: quarantine.QuarantineSnapshot
    accounts: accounts.AccountsSnapshot
    intents: intents.IntentsSnapshot
    pools: pool_targets.PoolTargetsSnapshot = NO_POOLS
    suspects: suspect_parts.SuspectPartsSnapshot = NO_SUSPECT_PARTS


class State:
    """The state that every replica and every observer has.

    :ivar index: log index of the last entry applied.
    """

    def __init__(self):
        self.index = 0
        self.documents = documents.Documents()
        self.sessions = sessions.Sessions()
        self.servers = servers.Servers()
        self.quarantine = quarantine.Quarantine()
        self.accounts = accounts.Accounts(self.sessions)
        self.intents = intents.Intents()
        self.pool_targets = pool_targets.PoolTargets()
        self.evacuations = evacuations.Evacuations()
        self.suspect_parts = suspect_parts.SuspectParts()

    def snapshot(self):
        """Return the state as a StateSnapshot."""
        return StateSnapshot(
            index=self.index,
            documents=self.documents.snapshot(),
            sessions=self.sessions.snapshot(),
            servers=self.servers.snapshot(),
            quarantine=self.quarantine.snapshot(),
            accounts=self.accounts.snapshot(),
            intents=self.intents.snapshot(),
            pools=self._pools_snapshot(),
            suspects=self.suspect_parts.snapshot(),
        )

    def restore(self, snapshot):
        """Replace the state by a StateSnapshot."""
        self.index = snapshot.index
        self.documents.restore(snapshot.documents)
        self.sessions.restore(snapshot.sessions)
        self.servers.restore(snapshot.servers)
        self.quarantine.restore(snapshot.quarantine)
        self.accounts.restore(snapshot.accounts)
        self.intents.restore(snapshot.intents)
        self._restore_pools(snapshot)
        self.suspect_parts.restore(snapshot.suspects)
        for environment in types.Environment:
            self._lower_floors(environment)

    def skip_index(self, index):
        """Advance the index past a log entry without a command."""
        self.index = index

    def apply(self, index, command):
        """Apply a committed command.

        :param index: log index of the command.
        :returns: the result, the same on every replica.
        """
        self.index = index
        match command:
            case documents.SubmitDocument():
                outcome = self.documents.apply(index, command)
                return self._lower_floors_if_accepted(
                    types.Environment.TRIAL, outcome
                )
            case documents.PromoteDocument() | documents.AdoptDocument():
                outcome = self.documents.apply(index, command)
                return self._lower_floors_if_accepted(
                    types.Environment.PRODUCTION, outcome
                )
            case sessions.OpenSession() | sessions.CloseSession():
                return self.sessions.apply(index, command)
            case (
                servers.JoinServer()
                | servers.LeaveServer()
                | servers.LoseServer()
                | servers.SetServerLimit()
                | servers.ForgetSoftware()
            ):
                return self.servers.apply(index, command)
            case quarantine.ReportCrash() | quarantine.ClearSuspect():
                return self.quarantine.apply(index, command)
            case (
                suspect_parts.ReportEarlyCrash()
                | suspect_parts.ClearParts()
                | suspect_parts.TryParts()
            ):
                return self.suspect_parts.apply(index, command)
            case (
                accounts.ClaimAccount()
                | accounts.SetFloor()
                | accounts.ReleaseAccount()
            ):
                return self.accounts.apply(index, command)
            case (
                intents.OpenIntent()
                | intents.CloseIntent()
                | intents.AdvanceClock()
            ):
                return self.intents.apply(index, command)
            case pool_targets.SetPrefillTarget() if evacuations.is_stored_in(
                command
            ):
                return self._evacuate(index, command)
            case pool_targets.SetPrefillTarget():
                return self.pool_targets.apply(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def _evacuate(self, index, command):
        """Evacuate or restore a zone.

        Its servers may have become cold while they got no requests.
        """
        outcome = self.evacuations.apply(index, command)
        restored = self.servers.evacuated_zones - self.evacuations.zones
        for zone in sorted(restored):
            self.servers.mark_zone_cold(zone)
        self.servers.evacuate(self.evacuations.zones)
        return outcome

    def _pools_snapshot(self):
        """Return the targets of pools, with the evacuations among them."""
        pools = self.pool_targets.snapshot()
        return pool_targets.PoolTargetsSnapshot(
            (*pools.wanted, *self.evacuations.targets())
        )

    def _restore_pools(self, snapshot):
        """Restore the targets of pools, and the evacuations among them."""
        targets = snapshot.pools.wanted
        stored = [t for t in targets if evacuations.is_stored_in(t)]
        pools = [t for t in targets if not evacuations.is_stored_in(t)]
        self.pool_targets.restore(
            pool_targets.PoolTargetsSnapshot(tuple(pools))
        )
        self.evacuations.load(snapshot.index, stored)
        self.servers.evacuate(self.evacuations.zones)

    def _lower_floors_if_accepted(self, environment, outcome):
        if isinstance(outcome, results.Accepted) and not outcome.repeated:
            self._lower_floors(environment)
        return outcome

    def _lower_floors(self, environment):
        current = self.documents.lookups(environment)
        self.accounts.lower_floors(environment, current.accounts_by_id)
