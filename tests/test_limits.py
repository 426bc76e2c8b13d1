"""The size of the policy's modules, the memory of its counters, and the code in the README."""

import re
from pathlib import Path

from workspond.policy.moving_averages import SlidingWindowCounter

ROOT = Path(__file__).parent.parent
MODULES = sorted((ROOT / "workspond" / "policy").glob("*.py"))
MAX_LINES = 330  # of one module, blank lines not counted


def test_no_decision_module_grows_past_one_job() -> None:
    lines = {module.name: module.read_text().splitlines() for module in MODULES}
    assert "balancer.py" in lines
    assert max(sum(1 for line in text if line.strip()) for text in lines.values()) <= MAX_LINES
    assert max(len(line) for text in lines.values() for line in text) <= 110


def test_each_decision_module_says_what_it_is_for() -> None:
    assert [module.name for module in MODULES if not module.read_text().startswith('"""')] == []


def test_the_readme_quick_start_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(code.group(1), {})


def test_a_counter_frees_what_has_left_its_window_though_nobody_reads_it() -> None:
    counter = SlidingWindowCounter(100.0)
    for now_ms in range(0, 10_000, 10):
        counter.add(float(now_ms))
    assert len(counter._times_ms) == counter.count(9_990.0) == 11
