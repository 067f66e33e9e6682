"""The catalogue of numbered log events, and structured logging."""
