"""Builds the typed records that the code under test takes, from plain values."""

from collections.abc import Mapping
from typing import Any

import msgspec

from granitespool.endpoints import Endpoint, Phase
from granitespool.settings import RequestClass, Settings


def settings_of(values: Mapping[str, Any]) -> Settings:
    """Settings from a map of their fields; classes may be maps too."""
    classes = [
        each if isinstance(each, RequestClass) else RequestClass(**each) for each in values.get("classes", ())
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
    """An entry of the endpoint list."""
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
    """The settings that a deployment tells, as a map of their fields; classes are maps too."""
    result = {name: value for name, value in msgspec.structs.asdict(settings).items() if value is not None}
    result["classes"] = [configured_class_fields(each) for each in settings.classes]
    return result


def configured_class_fields(request_class: RequestClass) -> dict[str, Any]:
    """The fields that a deployment tells of a class."""
    values = msgspec.structs.asdict(request_class)
    return {name: value for name, value in values.items() if value is not None}
