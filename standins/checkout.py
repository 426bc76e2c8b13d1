"""A checkout of the program: where it lies, and which module its deployment starts."""

from __future__ import annotations

import re
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = Path("deploy", "balancer.toml")
DEFAULT_MODULE = "workspond"  # of a folder without a deploy file
MODULE_OPTION = re.compile(r"-m\s+([\w.]+)")


class CheckoutError(Exception):
    """A folder that is no checkout of the program; the text says in one line why."""


def node_module(root: Path) -> str:
    """The module that runs a node, from the `run` command of the checkout's deploy file.

    Raises:
        CheckoutError: The deploy file can't be read or names no module.
    """
    path = root / DEPLOY_FILE
    if not path.exists():
        return DEFAULT_MODULE
    try:
        command = str(tomllib.loads(path.read_text(encoding="utf-8")).get("run", ""))
    except (OSError, ValueError) as problem:
        raise CheckoutError(f"can't read {DEPLOY_FILE}: {problem}") from None
    found = MODULE_OPTION.search(command)
    if found is None:
        raise CheckoutError(f"the run command of {DEPLOY_FILE} names no module")
    return found.group(1)


def node_command(root: Path) -> list[str]:
    """The command that runs a node of a checkout with this interpreter, in the checkout's folder.

    Raises:
        CheckoutError: The deploy file can't be read or names no module.
    """
    return [sys.executable, "-B", "-m", node_module(root)]
