"""Packages of the serving path import only packages below them in the table of docs/architecture.md."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "lilacfront"
# Modules that every package may import.
COMMON_MODULES = {"errors", "logs"}


def documented_packages() -> list[str]:
    """The packages in the table of the architecture page, from top to bottom."""
    page = (ROOT / "docs" / "architecture.md").read_text()
    table = page[page.index("## Packages") : page.index("`decisions` is entered")]
    return re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE)


def imported_packages(path: Path) -> Iterator[str]:
    """The lilacfront packages that a module imports, apart from imports for type checking only."""
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING":
            node.body = []
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("lilacfront."):
            yield node.module.split(".")[1]


def test_architecture_page_lists_every_package_of_the_serving_path() -> None:
    not_on_serving_path = {"lab", "load", "experiments", "simulator"}
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert set(documented_packages()) == packages - not_on_serving_path


@pytest.mark.parametrize("package", documented_packages())
def test_package_imports_only_packages_below_it(package: str) -> None:
    packages = documented_packages()
    allowed = {package, *packages[packages.index(package) + 1 :], *COMMON_MODULES}
    forbidden = {
        f"{path.relative_to(ROOT)}: {imported}"
        for path in (PACKAGE / package).rglob("*.py")
        for imported in imported_packages(path)
        if imported not in allowed
    }
    assert not forbidden, f"{package} must not import: {sorted(forbidden)}"
