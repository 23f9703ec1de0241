"""Thrift messages between the processes."""
