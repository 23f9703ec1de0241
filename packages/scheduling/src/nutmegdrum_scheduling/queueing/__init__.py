"""Admission control: which requests wait, in which order, and which are refused."""
