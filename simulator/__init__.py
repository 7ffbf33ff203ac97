"""Simulator adapter: runs balancer instances over a binary protocol on standard input and output."""
