"""Incremental parsers and writers, free of input and output."""
