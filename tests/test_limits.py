"""The size of the decision modules, and the README's own code."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULES = sorted((ROOT / "workspond" / "policy").glob("*.py"))
MOST_LINES = 330  # that are not blank, of one module


def test_no_decision_module_grows_past_one_job() -> None:
    lines = {module.name: module.read_text().splitlines() for module in MODULES}
    assert "balancer.py" in lines
    assert max(sum(1 for line in text if line.strip()) for text in lines.values()) <= MOST_LINES
    assert max(len(line) for text in lines.values() for line in text) <= 110


def test_each_decision_module_says_what_it_is_for() -> None:
    assert [module.name for module in MODULES if not module.read_text().startswith('"""')] == []


def test_the_readme_quick_start_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(code.group(1), {})
