"""The gateway process: sockets, timers and tables around the `balancer`, which makes the decisions."""
