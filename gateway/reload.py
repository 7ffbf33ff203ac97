"""Reload of the configuration file on SIGHUP, while requests are being served."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from enum import Enum

from balancer import MS, Settings

from .client import ClientServer
from .configuration import Configuration, ConfigurationError, Steps, TenantTable
from .discovery import Discovery
from .dispatcher import Dispatcher
from .tenant_table import TenantDifference
from .timers import now_ns

__all__ = ["ConfigurationReloader", "ReloadState"]

log = logging.getLogger("gateway")


class ReloadState(Enum):
    """State of the reload.

    IDLE -> READING -> COMPARING -> APPLYING -> IDLE; each state returns to IDLE on an error.  A SIGHUP during
    READING or COMPARING restarts at READING.  A SIGHUP during APPLYING leads to APPLYING_WITH_NEXT, and from
    there to READING.
    """

    IDLE = "idle"
    READING = "reading"
    COMPARING = "comparing"
    APPLYING = "applying"
    APPLYING_WITH_NEXT = "applying_with_next"
    """Like APPLYING, but another SIGHUP has arrived: a second reload follows."""

    @property
    def is_applying(self) -> bool:
        """Whether changes are being applied, which is never interrupted."""
        return self in (ReloadState.APPLYING, ReloadState.APPLYING_WITH_NEXT)


class ConfigurationReloader:
    """Reads and applies configuration files in steps, so that requests are served in between."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        configuration: Configuration,
        tenants: TenantTable,
        server: ClientServer,
        dispatcher: Dispatcher,
        discovery: Discovery,
        on_settings: Callable[[Settings], None],
    ) -> None:
        """`on_settings` is called with new settings before `server` gets them."""
        self._loop = loop
        self.configuration = configuration
        """The current configuration."""
        self.tenants = tenants
        self.state = ReloadState.IDLE
        self._server = server
        self._dispatcher = dispatcher
        self._discovery = discovery
        self._on_settings = on_settings
        self._steps: Steps | None = None

    def start(self) -> None:
        """Start a reload; an invalid file, or one with an older version, changes nothing.

        A reload that is still reading or comparing is restarted with the newer file.  A reload that is
        already applying changes is completed first.
        """
        if self.state.is_applying:
            self.state = ReloadState.APPLYING_WITH_NEXT
            return
        is_scheduled = self._steps is not None
        self.state = ReloadState.READING
        self._steps = self._reload()
        if not is_scheduled:
            self._loop.call_soon(self._run_step)

    def _run_step(self) -> None:
        assert self._steps is not None
        try:
            next(self._steps)
        except StopIteration:
            self._end()
        except ConfigurationError as error:
            log.error("EDGE_CONFIG: %s; keeping the current configuration", error)
            self._end()
        except Exception:  # without this, later signals would have no effect
            log.exception("EDGE_CONFIG could not be applied")
            self._end()
        else:
            self._loop.call_soon(self._run_step)

    def _end(self) -> None:
        is_reload_pending = self.state is ReloadState.APPLYING_WITH_NEXT
        self.state = ReloadState.IDLE
        self._steps = None
        if is_reload_pending:
            self.start()

    def _reload(self) -> Steps:
        """Read and validate the complete file, then apply the difference."""
        started_ns = now_ns()
        configuration = yield from Configuration.read_in_steps(os.environ, is_reload=True)
        current = self.configuration
        self._check_version(configuration, current)
        self.state = ReloadState.COMPARING
        difference = yield from self.tenants.compare(configuration.tenant_rows)
        configuration.tenant_rows = []
        # The discovery address changes without a restart, even if other changes in the file require one.
        self._discovery.change_address(configuration.discovery_address)
        if names := configuration.changes_that_need_restart(current):
            log.error(
                "EDGE_CONFIG: %s: a change requires a restart; keeping the current settings", ", ".join(names)
            )
            return
        self.state = ReloadState.APPLYING
        self.configuration = configuration
        if configuration.settings != current.settings:
            self._on_settings(configuration.settings)
            self._server.on_settings(configuration.settings)
        yield from self.tenants.apply(difference, self._dispatcher.on_tenants)
        self._log_result(difference, started_ns)

    @staticmethod
    def _check_version(configuration: Configuration, current: Configuration) -> None:
        version, current_version = configuration.version, current.version
        if version is not None and current_version is not None and version < current_version:
            raise ConfigurationError(f"version {version} is older than {current_version}")

    @staticmethod
    def _log_result(difference: TenantDifference, started_ns: int) -> None:
        log.info(
            "settings applied: %d tenants added, %d changed, %d removed, in %d ms",
            len(difference.added),
            len(difference.changed),
            len(difference.removed),
            (now_ns() - started_ns) // MS,
        )
