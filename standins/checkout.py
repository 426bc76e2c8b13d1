"""Locates a checkout of the program and reads from its deploy file which module runs a node."""

from __future__ import annotations

import re
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = Path("deploy", "balancer.toml")
DEFAULT_MODULE = "workspond"  # used if the checkout has no deploy file
MODULE_OPTION = re.compile(r"-m\s+([\w.]+)")


class CheckoutError(Exception):
    """Raised for a folder that can't be used as a checkout; the message gives the reason in one line."""


def node_module(root: Path) -> str:
    """Return the module that runs a node, as named by the `run` command of the deploy file in `root`.

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
        raise CheckoutError(f"{DEPLOY_FILE}: the run command must have `-m MODULE`, is {command!r:.100}")
    return found.group(1)


def node_command(root: Path) -> list[str]:
    """Return the command that runs a node with this interpreter; its working directory must be `root`.

    Raises:
        CheckoutError: The deploy file can't be read or names no module.
    """
    return [sys.executable, "-B", "-m", node_module(root)]
