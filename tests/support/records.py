"""Typed records that are built from plain values."""

from collections.abc import Mapping
from typing import Any

import msgspec

from granitespool.endpoints import Endpoint, Phase
from granitespool.settings import RequestClass, Settings


def settings_of(values: Mapping[str, Any]) -> Settings:
    """Return settings from a dict of their fields; classes may be dicts too."""
    classes = [
        value if isinstance(value, RequestClass) else RequestClass(**value)
        for value in values.get("classes", ())
    ]
    return Settings(**{**values, "classes": classes})


def endpoint(
    name: str,
    zone: str = "n",
    machine_type: str | None = None,
    phase: str = "ready",
    weight: float = 1.0,
    started_at: int = 0,
) -> Endpoint:
    """Return an entry of the endpoint list."""
    return Endpoint(
        name=name,
        zone=zone,
        machine_type=machine_type,
        cell=0,
        phase=Phase(phase),
        weight=weight,
        started_at=started_at,
    )


def configured_settings(settings: Settings) -> dict[str, Any]:
    """Return the settings that are set as a dict of their fields; classes are dicts too."""
    result = {name: value for name, value in msgspec.structs.asdict(settings).items() if value is not None}
    result["classes"] = [configured_class_fields(request_class) for request_class in settings.classes]
    return result


def configured_class_fields(request_class: RequestClass) -> dict[str, Any]:
    """Return the fields of a class that are set."""
    values = msgspec.structs.asdict(request_class)
    return {name: value for name, value in values.items() if value is not None}
