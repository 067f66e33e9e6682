"""The replicated state machine and its commands."""
