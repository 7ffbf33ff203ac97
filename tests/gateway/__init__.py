"""Tests of the `gateway` package."""
