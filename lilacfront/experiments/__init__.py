"""Experiments: the teams and the router of one gateway against a model of engines, without sockets."""
