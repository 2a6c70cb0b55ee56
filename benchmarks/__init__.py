"""Benchmarks; each module runs as `python -m benchmarks.NAME`."""
