"""Requests, attempts and outcomes, independent of any wire protocol."""
