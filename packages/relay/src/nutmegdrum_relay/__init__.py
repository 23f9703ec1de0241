"""Relay of callers' requests to backend servers under a replicated routing document."""
