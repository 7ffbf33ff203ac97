"""Tests of the balancer package, without I/O."""
