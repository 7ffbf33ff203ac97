"""Fakes, harnesses and builders that several test modules share."""
