"""Placement of requests on prefill, decode and service servers."""
