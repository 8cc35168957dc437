"""Stand-in servers, fault injection and simulations for tests and experiments; not on the serving path."""
