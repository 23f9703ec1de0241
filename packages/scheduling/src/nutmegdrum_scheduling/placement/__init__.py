"""Placement by the predicted cost of requests and the work left on servers."""
