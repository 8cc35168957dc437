"""Routing decisions: engine selection, retries and rejection of requests, without I/O or a clock."""
