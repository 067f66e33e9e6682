"""Durable storage of the log under one data folder."""
