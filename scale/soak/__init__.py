"""A seeded soak of gateway processes: signals in series, restarts, crowds, and checks of the rules."""
