"""Tests of the simulator adapter."""
