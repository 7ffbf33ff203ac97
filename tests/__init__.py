"""Test suite; subpackages mirror the packages under test, and shared helpers are in `support`."""
