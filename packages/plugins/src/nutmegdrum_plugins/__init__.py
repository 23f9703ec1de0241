"""Plug-ins, one short module a feature."""
