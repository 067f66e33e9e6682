"""Numeric tags of all types that travel; numbers never change."""

import types as python_types

from bulrushrudder.documents import types
from bulrushrudder.protocol import messages
from bulrushrudder.state import commands
from bulrushrudder.state import results

NUMBER_BY_TYPE = python_types.MappingProxyType(
    {
        messages.Hello: 1,
        messages.Proof: 2,
        messages.Heartbeat: 3,
        messages.Ask: 4,
        messages.Answer: 5,
        messages.Observe: 20,
        messages.Entries: 21,
        messages.Vouch: 22,
        messages.AskVouch: 23,
        messages.Propose: 24,
        messages.Proposed: 25,
        messages.Announce: 26,
        messages.Noted: 27,
        messages.AskTokens: 40,
        messages.TokensGranted: 41,
        messages.TokensRefused: 42,
        messages.ReturnTokens: 43,
        messages.AskPlace: 60,
        messages.PlaceGranted: 61,
        messages.PlaceRefused: 62,
        messages.ReleasePlace: 63,
        commands.SubmitDocument: 200,
        commands.PromoteDocument: 201,
        commands.OpenSession: 202,
        commands.CloseSession: 203,
        commands.JoinServer: 204,
        commands.LeaveServer: 205,
        results.Accepted: 300,
        results.Rejected: 301,
        results.Unavailable: 302,
        types.ModelTarget: 400,
        types.ServiceTarget: 401,
    }
)
