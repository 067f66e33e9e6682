"""Numeric tags of all types that travel; numbers never change."""

import types as python_types

from bulrushrudder.documents import types
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.protocol import place_messages
from bulrushrudder.protocol import token_messages
from bulrushrudder.state import accounts
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import intents
from bulrushrudder.state import machine
from bulrushrudder.state import quarantine
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.state import sessions

NUMBER_BY_TYPE = python_types.MappingProxyType(
    {
        messages.Hello: 1,
        messages.Proof: 2,
        messages.Heartbeat: 3,
        messages.Ask: 4,
        messages.Answer: 5,
        log_messages.Observe: 20,
        log_messages.Entries: 21,
        log_messages.Vouch: 22,
        log_messages.AskVouch: 23,
        log_messages.Propose: 24,
        log_messages.Proposed: 25,
        log_messages.Announce: 26,
        messages.Noted: 27,
        token_messages.AskTokens: 40,
        token_messages.TokensGranted: 41,
        token_messages.TokensRefused: 42,
        token_messages.ReturnTokens: 43,
        token_messages.AskElsewhere: 44,
        token_messages.WithdrawAsk: 45,
        place_messages.AskPlace: 60,
        place_messages.PlaceGranted: 61,
        place_messages.PlaceRefused: 62,
        place_messages.ReleasePlace: 63,
        place_messages.PlaceMoved: 64,
        place_messages.ReportHolds: 65,
        place_messages.HoldsWanted: 66,
        place_messages.RestoreHolds: 67,
        place_messages.ReportLoad: 68,
        place_messages.ReportCache: 69,
        state_documents.SubmitDocument: 200,
        state_documents.PromoteDocument: 201,
        sessions.OpenSession: 202,
        sessions.CloseSession: 203,
        servers.JoinServer: 204,
        servers.LeaveServer: 205,
        accounts.ClaimAccount: 230,
        accounts.SetFloor: 231,
        accounts.ReleaseAccount: 232,
        accounts.AccountRow: 233,
        accounts.AccountsSnapshot: 234,
        intents.OpenIntent: 240,
        intents.CloseIntent: 241,
        intents.PassTime: 242,
        intents.Intent: 243,
        intents.IntentsSnapshot: 244,
        intents.Answer: 245,
        machine.StateSnapshot: 270,
        state_documents.DocumentsSnapshot: 271,
        sessions.SessionsSnapshot: 272,
        servers.ServersSnapshot: 273,
        quarantine.ReportCrash: 260,
        quarantine.ClearSuspect: 261,
        quarantine.QuarantineSnapshot: 262,
        results.Accepted: 300,
        results.Rejected: 301,
        results.Unavailable: 302,
        results.Outdated: 303,
        types.ModelTarget: 400,
        types.ServiceTarget: 401,
    }
)
