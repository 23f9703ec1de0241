"""Serving system for long model generations on unreliable engines."""
