"""Relay of callers' requests to backend servers, configured by a replicated routing document."""
