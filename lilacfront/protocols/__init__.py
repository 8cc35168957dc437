"""Incremental parsers and encoders of the wire protocols, without I/O."""
