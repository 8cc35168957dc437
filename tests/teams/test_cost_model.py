"""Tests of statement fingerprints, under which costs are learned."""

from __future__ import annotations

from lilacfront.teams.cost_model import statement_fingerprint


def test_fingerprint_ignores_literals() -> None:
    statements = [b"SELECT a FROM s_17.t WHERE x = 1", b"select  a\nfrom s_4.t where x = 99.5"]
    assert len({statement_fingerprint(statement) for statement in statements}) == 1
    quoted = statement_fingerprint(b"SELECT 'it''s'")
    assert quoted == statement_fingerprint(b"SELECT 'x'") != statement_fingerprint(b"SELECT x")
    assert statement_fingerprint(b"SELECT x IN (1, 2, 3)") == statement_fingerprint(b"SELECT x IN (7)")
