"""Numeric tags of all types that are sent or stored; they never change."""

import types as python_types

from bulrushrudder.consensus import messages as consensus_messages
from bulrushrudder.consensus import types as consensus_types
from bulrushrudder.documents import types
from bulrushrudder.protocol import explain_messages
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.protocol import place_messages
from bulrushrudder.protocol import status_messages
from bulrushrudder.protocol import stream_messages
from bulrushrudder.protocol import token_messages
from bulrushrudder.protocol import tunnel_messages
from bulrushrudder.state import accounts
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import intents
from bulrushrudder.state import machine
from bulrushrudder.state import pool_targets
from bulrushrudder.state import quarantine
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.state import suspect_parts
from bulrushrudder.storage import records

TAG_BY_TYPE = python_types.MappingProxyType(
    {
        messages.Hello: 1,
        messages.Proof: 2,
        messages.Heartbeat: 3,
        messages.Request: 4,
        messages.Response: 5,
        tunnel_messages.OpenTunnel: 6,
        tunnel_messages.TunnelOpened: 7,
        tunnel_messages.TunnelRefused: 8,
        log_messages.Observe: 20,
        log_messages.Entries: 21,
        log_messages.FreshnessResponse: 22,
        log_messages.FreshnessRequest: 23,
        log_messages.Propose: 24,
        log_messages.Proposed: 25,
        log_messages.Announce: 26,
        messages.Acknowledged: 27,
        log_messages.StateChunk: 28,
        log_messages.Forward: 29,
        log_messages.NotLeader: 30,
        log_messages.ReadIndexRequest: 31,
        log_messages.ReadIndexResponse: 32,
        log_messages.ReportObservers: 33,
        log_messages.Members: 36,
        status_messages.StatusRequest: 34,
        status_messages.Status: 35,
        token_messages.TokenRequest: 40,
        token_messages.TokensGranted: 41,
        token_messages.TokensRefused: 42,
        token_messages.RefundTokens: 43,
        token_messages.AuthorityMoved: 44,
        token_messages.WithdrawTokenRequest: 45,
        place_messages.PlaceRequest: 60,
        place_messages.PlaceGranted: 61,
        place_messages.PlaceRefused: 62,
        place_messages.ReleasePlace: 63,
        place_messages.CoordinatorMoved: 64,
        place_messages.ReportHolds: 65,
        place_messages.UnknownHolds: 66,
        place_messages.RestoreAllocations: 67,
        place_messages.ReportLoad: 68,
        place_messages.ReportCache: 69,
        place_messages.ReportLimit: 70,
        place_messages.CallRequest: 71,
        place_messages.CallGranted: 72,
        place_messages.CallDeferred: 73,
        stream_messages.RecordStreams: 80,
        stream_messages.FindStream: 81,
        stream_messages.StreamFound: 82,
        explain_messages.ExplainRequest: 90,
        explain_messages.Explained: 91,
        consensus_messages.VoteRequest: 100,
        consensus_messages.VoteResponse: 101,
        consensus_messages.AppendRequest: 102,
        consensus_messages.AppendResponse: 103,
        consensus_messages.SnapshotChunk: 104,
        consensus_messages.SnapshotChunkResponse: 105,
        consensus_messages.TransferLeadership: 106,
        consensus_messages.DiscoveryRequest: 107,
        consensus_messages.DiscoveryResponse: 108,
        state_documents.SubmitDocument: 200,
        state_documents.PromoteDocument: 201,
        state_documents.AdoptDocument: 206,
        sessions.OpenSession: 202,
        sessions.CloseSession: 203,
        servers.JoinServer: 204,
        servers.LeaveServer: 205,
        servers.LoseServer: 220,
        servers.SetServerLimit: 221,
        servers.ForgetSoftware: 222,
        accounts.ClaimAccount: 230,
        accounts.SetFloor: 231,
        accounts.ReleaseAccount: 232,
        accounts.AccountRow: 233,
        accounts.AccountsSnapshot: 234,
        pool_targets.SetPrefillTarget: 290,
        pool_targets.PoolTargetsSnapshot: 291,
        intents.OpenIntent: 240,
        intents.CloseIntent: 241,
        intents.AdvanceClock: 242,
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
        suspect_parts.ReportEarlyCrash: 263,
        suspect_parts.ClearParts: 264,
        suspect_parts.SuspectPartsSnapshot: 265,
        suspect_parts.TryParts: 266,
        consensus_types.Command: 280,
        consensus_types.Configuration: 281,
        consensus_types.TermStart: 282,
        consensus_types.Snapshot: 283,
        records.Batch: 284,
        results.Accepted: 300,
        results.Rejected: 301,
        results.Unavailable: 302,
        results.Outdated: 303,
        types.ModelTarget: 400,
        types.ServiceTarget: 401,
        types.SplitTarget: 402,
    }
)
