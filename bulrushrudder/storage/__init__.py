"""The durable log and snapshot in the data folder."""
