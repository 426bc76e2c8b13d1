"""Reloads the configuration file of a running node on SIGHUP."""

from __future__ import annotations

import asyncio
import logging

from workspond.address import format_address
from workspond.config import Config, InvalidConfigError, UnreadableConfigError, read_config
from workspond.node import Node

# The file can't be read while the process is short of descriptors or memory. The retries end after 2.5 s,
# because the node must have the endpoint list of a new discovery agent within 4 s after SIGHUP.
RETRY_INTERVAL_S = 0.1
MAX_RETRIES = 25

log = logging.getLogger("workspond")


class ConfigReloader:
    """Reloads a node's configuration file."""

    def __init__(self, node: Node, path: str) -> None:
        self._node = node
        self._path = path

    def reload(self, retries_left: int = MAX_RETRIES) -> None:
        """Read the file and apply its configuration.

        An invalid configuration changes nothing. A file that can't be read is retried up to `retries_left`
        times.
        """
        try:
            config = read_config(self._path)
        except UnreadableConfigError as error:
            self._retry(error, retries_left)
        except InvalidConfigError as error:
            _log_failure(error)
        else:
            self._apply(config)

    def _apply(self, config: Config) -> None:
        log.info("configuration reloaded: discovery=%s", format_address(config.discovery))
        self._node.reconfigure(config)

    def _retry(self, error: UnreadableConfigError, retries_left: int) -> None:
        if not retries_left:
            _log_failure(error)
            return
        if retries_left == MAX_RETRIES:
            log.warning('reload delayed: reason="%s"', error)
        asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self.reload, retries_left - 1)


def _log_failure(error: InvalidConfigError) -> None:
    log.error('reload failed, the old configuration stays: reason="%s"', error)
