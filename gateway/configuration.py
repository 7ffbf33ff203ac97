"""The configuration of a gateway, from environment variables and a JSON file."""

from __future__ import annotations

from collections.abc import Generator, Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec
from msgspec import Raw
from msgspec.json import decode

from balancer import Settings
from balancer.settings_parser import parse_settings, parse_tenant

from .configuration_error import ConfigurationError, as_configuration_error
from .tenant_table import Steps, TenantTable

__all__ = ["Address", "Configuration", "ConfigurationError", "Steps", "TenantTable"]

Address = tuple[str, int]
"""Host and port."""

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
EMPTY_ENDPOINT_LIST: dict[str, Any] = {"generation": 0, "reset": True, "instances": []}
"""The cached endpoint list when the configuration file contains none."""


@dataclass
class Configuration:
    """The parsed configuration file, with the overrides of the environment."""

    listen_address: Address
    discovery_address: Address
    seed: int
    """Seed of the balancer's random number generator."""
    max_sockets: int
    """Upper limit on the file descriptors of the process."""
    max_memory_bytes: int
    """Upper limit on the memory of the process."""
    cached_list: Any
    """The last known endpoint list: a JSON object in the format of discovery, not yet validated."""
    version: int | None
    """Version number of the file, which increases with each change; None if the file has none."""
    settings: Settings
    """Settings of the balancer; `tenants` is empty when the file was read by `read_in_steps`."""
    zones: list[str]
    machine_types: list[str]
    load_report_columns: list[str]
    peers: list[Address]
    """Addresses of the other gateways, to which gossip is sent and from which it is accepted."""
    broadcast_address: Address | None
    """Destination of gossip for all gateways."""
    gossip_address: Address | None
    """Local address on which gossip is received."""
    tenant_rows: list[Raw]
    """The tenants in the order of the file, as raw JSON."""

    @classmethod
    def read(cls, environ: Mapping[str, str]) -> Configuration:
        """Read the complete file at once, including `settings.tenants`.  Raises ConfigurationError."""
        steps = cls.read_in_steps(environ)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                configuration: Configuration = stop.value
                break
        with as_configuration_error():
            tenants = tuple(
                parse_tenant(decode(row), index) for index, row in enumerate(configuration.tenant_rows)
            )
        configuration.settings = replace(configuration.settings, tenants=tenants)
        return configuration

    @classmethod
    def read_in_steps(
        cls, environ: Mapping[str, str], is_reload: bool = False
    ) -> Generator[None, None, Configuration]:
        """Read the file without decoding its tenant rows; each step takes one iteration of the event loop.

        On a reload, the discovery address in the file takes precedence over EDGE_DISCOVERY, as it is newer.

        Raises ConfigurationError.
        """
        with as_configuration_error():
            with open(environ["EDGE_CONFIG"], "rb") as file:
                text = file.read()
            sections: dict[str, Raw] = decode(text, type=dict[str, Raw])
            del text
            yield
            settings: dict[str, Raw] = decode(sections.pop("settings"), type=dict[str, Raw])
            yield
            rows: list[Raw] = decode(settings.pop("realms", Raw(b"[]")), type=list[Raw])
            yield
            return cls._parse(
                {name: decode(value) for name, value in sections.items()},
                {name: decode(value) for name, value in settings.items()},
                rows,
                environ,
                is_reload,
            )

    @classmethod
    def _parse(
        cls,
        sections: dict[str, Any],
        settings: dict[str, Any],
        rows: list[Raw],
        environ: Mapping[str, str],
        is_reload: bool,
    ) -> Configuration:
        """Parse the fields in the order in which their errors take precedence: only the first is reported."""
        discovery_override = None if is_reload else environ.get("EDGE_DISCOVERY")
        limits = sections.get("limits", {})
        return cls(
            listen_address=_parse_address(environ.get("EDGE_LISTEN") or sections["listen"]),
            discovery_address=_parse_address(discovery_override or sections["discovery"]),
            seed=int(str(sections.get("seed", "0")), 16),
            max_sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
            max_memory_bytes=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)) << 20,
            cached_list=sections.get("known", EMPTY_ENDPOINT_LIST),
            version=_parse_version(sections.get("version")),
            settings=parse_settings(msgspec.json.encode(settings)),
            zones=[str(name) for name in settings.get("zones", ())],
            load_report_columns=[str(name) for name in settings.get("load-report", {}).get("columns", ())],
            peers=[_parse_address(text) for text in sections.get("peers", ())],
            broadcast_address=_parse_optional_address(sections.get("peers_all")),
            gossip_address=_parse_optional_address(sections.get("peer_listen")),
            machine_types=[str(name) for name in settings.get("flavors", ())],
            tenant_rows=rows,
        )

    def changes_that_need_restart(self, current: Configuration) -> list[str]:
        """Return the names of the settings that differ from `current` and take effect only on a restart."""
        current_values = current.fixed_values()
        return [name for name, value in self.fixed_values().items() if current_values[name] != value]

    def fixed_values(self) -> dict[str, object]:
        """Return the values that cannot change while a gateway runs, by their name in the file."""
        settings = self.settings
        return {
            "listen": self.listen_address,
            "limits": (self.max_sockets, self.max_memory_bytes),
            "az": settings.zone,
            "zones": self.zones,
            "flavors": self.machine_types,
            "load-report": (self.load_report_columns, settings.load_report_inline),
            "settings.discovery": settings.poll_discovery,
            "round-ns": settings.tick_ns,
            "my-number": settings.replica_index,
            "peers": (self.peers, self.broadcast_address, self.gossip_address, settings.limits.gossip),
            "request-classes": sorted(
                (request_class.name, request_class.idempotency.value) for request_class in settings.classes
            ),
            "caps.dial-timeout-ns": settings.limits.connect_timeout_ns,
            "caps.conn-idle-ns": settings.limits.idle_timeout_ns,
            "caps.open-cap": settings.limits.max_open_requests,
            "rules.drain-grace-ns": settings.rules.drain_grace_ns,
        }


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not a valid host:port address")
    return host.strip("[]"), int(port)


def _parse_optional_address(text: str | None) -> Address | None:
    return _parse_address(text) if text else None


def _parse_version(version: object) -> int | None:
    if version is None or type(version) is int:  # isinstance would also accept a bool
        return version
    raise ValueError(f"version must be an integer, not {version!r}")
