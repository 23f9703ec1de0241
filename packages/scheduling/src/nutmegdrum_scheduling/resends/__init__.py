"""Permissions to send requests again, shared by all entry VMs."""
