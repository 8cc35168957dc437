"""Runs the decisions for a simulator over a pipe, which carries batches of events and replies."""
