"""The catalogue of numbered log events and the logger."""
