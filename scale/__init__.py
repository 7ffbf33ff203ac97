"""Scale tests: a synthetic fleet, a stand-in of discovery and hollow gateways on real sockets.

It imports `gateway` and `bridgesaddle`, never the reverse; what it measures runs the project's own code.
"""
