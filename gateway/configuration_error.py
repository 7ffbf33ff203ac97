"""The error for a configuration that is not valid."""

from __future__ import annotations

from collections.abc import Generator
from contextlib import contextmanager

import msgspec

from balancer.settings_parser import SettingsError

__all__ = ["ConfigurationError", "as_configuration_error"]


class ConfigurationError(Exception):
    """The configuration is not valid; the message states the reason on one line."""


@contextmanager
def as_configuration_error() -> Generator[None, None, None]:
    """Convert the exceptions that reading and parsing a configuration may raise to ConfigurationError."""
    try:
        yield
    except KeyError as error:
        raise ConfigurationError(f"{error} is missing") from None
    except (
        OSError,
        ValueError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
        SettingsError,
        msgspec.MsgspecError,
    ) as error:
        raise ConfigurationError(" ".join(str(error).split())) from None
