"""Adapters between the router and the platform that it runs on.

In the terms of the platform, a backend server is a runner, a caller is a
client, and the kind of an engine, prefill or decode, is its stage.
"""
