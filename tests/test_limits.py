"""Limits of the policy's modules and of the memory of its counters, and the code in the README."""

import re
from pathlib import Path

from workspond.policy.moving_averages import SlidingWindowCounter

ROOT = Path(__file__).parent.parent
MODULES = sorted((ROOT / "workspond" / "policy").glob("*.py"))
MAX_MODULE_LINES = 330  # blank lines do not count


def test_policy_modules_stay_within_the_size_limits() -> None:
    lines = {module.name: module.read_text().splitlines() for module in MODULES}
    assert "balancer.py" in lines
    assert max(sum(1 for line in text if line.strip()) for text in lines.values()) <= MAX_MODULE_LINES
    assert max(len(line) for text in lines.values() for line in text) <= 110


def test_each_policy_module_starts_with_a_docstring() -> None:
    assert [module.name for module in MODULES if not module.read_text().startswith('"""')] == []


def test_quick_start_code_in_the_readme_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(code.group(1), {})


def test_sliding_window_counter_that_is_never_read_frees_expired_events() -> None:
    counter = SlidingWindowCounter(100.0)
    for now_ms in range(0, 10_000, 10):
        counter.add(float(now_ms))
    assert len(counter._times_ms) == counter.count(9_990.0) == 11
