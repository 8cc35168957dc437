"""Recovery from a power loss: durable state, its exchange with peers, and staged admission of requests."""
