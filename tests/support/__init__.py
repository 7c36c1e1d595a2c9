"""Harness and fixtures of the tests."""
