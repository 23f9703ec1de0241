"""Test support: fake servers, simulated worlds, load generators and benchmarks."""
