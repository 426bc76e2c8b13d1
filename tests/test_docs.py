"""The pages that lead into the code name modules and terms that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / "workspond"
PAGES = [ROOT / "README.md", *(ROOT / "docs").glob("*.md")]
SOURCE = "\n".join(path.read_text(encoding="utf-8") for path in PROGRAM.rglob("*.py"))


def code_spans(page: Path) -> list[str]:
    """What a page has in backticks, but for its blocks of code."""
    text = re.sub(r"^```.*?^```", "", page.read_text(encoding="utf-8"), flags=re.S | re.M)
    return re.findall(r"`([^`\n]+)`", text)


@pytest.mark.parametrize("page", PAGES, ids=[page.name for page in PAGES])
def test_files_that_a_page_names_exist(page: Path) -> None:
    for span in code_spans(page):
        if not re.fullmatch(r"[\w/]+\.py", span):
            continue
        name = span.removeprefix("workspond/")
        places = [ROOT / span, PROGRAM / name, *PROGRAM.rglob(Path(name).name)]
        assert any(place.is_file() and str(place).endswith(name) for place in places), f"{page.name}: {span}"


def test_the_architecture_page_has_each_module_of_the_policy() -> None:
    page = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    section = page.split("### The policy")[1].split("\n## ")[0]
    named = {span for row in section.splitlines() if row.startswith("| `") for span in _first_cell(row)}
    modules = {path.stem for path in (PROGRAM / "policy").glob("*.py")} - {"__init__"}
    assert named == modules


def _first_cell(row: str) -> list[str]:
    return re.findall(r"`(\w+)`", row.split("|")[1])


def test_terms_of_the_glossary_stand_in_the_code() -> None:
    page = ROOT / "docs" / "glossary.md"
    rows = [row for row in page.read_text(encoding="utf-8").splitlines() if row.startswith("| ")]
    terms = {term for row in rows for term in re.findall(r"`([A-Z]\w*(?:\.\w+)?)`", row.split("|", 2)[2])}
    missing = {term for term in terms if not re.search(rf"\b{term.rpartition('.')[2]}\b", SOURCE)}
    assert not missing


def test_log_lines_of_the_operations_page_stand_in_the_code() -> None:
    page = (ROOT / "docs" / "operations.md").read_text(encoding="utf-8")
    section = page.split("## Log lines")[1].split("\n## ")[0]
    lines = {span for row in section.splitlines() if row.startswith("| `") for span in _messages(row)}
    assert len(lines) > 15
    assert not {line for line in lines if line not in SOURCE}


def _messages(row: str) -> list[str]:
    """The beginnings of the messages in a first cell; those of requests are put together in the code."""
    spans = re.findall(r"`([^`:]+:)[^`]*`", row.split("|")[1])
    return ["request %s:" if re.fullmatch(r"request \w+:", span) else span for span in spans]
