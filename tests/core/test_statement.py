"""Properties of SQL statements: the table group, and whether a statement only reads."""

from __future__ import annotations

import pytest

from lilacfront.core.statement import is_read, table_group

READS = [
    b"select 1",
    b" (SELECT 1) ",
    b"with x as (select 1) select * from x;",
    b"show tables -- insert\n",
    b"select 'insert; drop' from t where \"delete\" = 1",
    b"explain select 1",
    b"/* a */ describe t",
    b"select replace(a, 'b', 'c'), truncate(d) from system.parts settings x = 1",
    b"show create table t",
]
NOT_PROVABLY_READS = [
    b"insert into t values (1)",
    b"select 1; drop table t",
    b"with x as (select 1) insert into t select 1",
    b"",
    b"set x = 1",
    b"select 'unended",
    b"select /* unended",
    b"select * from executable('rm')",
    b"select # comment\n1",
    b"select $$a$$",
    b"select 1 into outfile 'x'",
    b"/* select */ drop table t",
]


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        (b"select a from sales_17.orders", 17),
        (b"insert into staging_4.x select * from sales_17.orders", 17),
        (b"insert into staging.x select * from sales_9.orders where a = 'x_3.y'", 9),
        (b"select 'a''b_1.c', \"d\" /* e_2.f */ -- g_3.h\n from `sales_5`.`orders`", 5),
        (b"select 'it\\'s x_1.y' from z_8 . t", 8),
        (b"select 1", 0),
        (b"select x_3.y_2 from t /* unended z_1.a", 3),
        (b"select 'unended z_1.a", 0),
        (b"", 0),
    ],
)
def test_table_group_is_the_number_of_the_first_numbered_schema(statement: bytes, group: int) -> None:
    assert table_group(statement) == group


@pytest.mark.parametrize("statement", READS)
def test_statement_that_provably_only_reads_is_a_read(statement: bytes) -> None:
    assert is_read(statement)


@pytest.mark.parametrize("statement", NOT_PROVABLY_READS)
def test_other_statement_is_not_a_read(statement: bytes) -> None:
    assert not is_read(statement)
