"""Plug-ins that ship with nutmegdrum, one module each."""
