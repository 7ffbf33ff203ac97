"""Simulation of many gateways and an endpoint in slow start, to test whether their joint load overloads it.

Balancers and modelled endpoints run in one process on one simulated clock.  The overload check shares no code
with the balancer: it uses only the arrival times of requests and the lowest capacity within each window.
"""
