"""Tests of the scale experiments and their tools."""
