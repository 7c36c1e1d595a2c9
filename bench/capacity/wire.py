"""What the platform tells a coordinator of a synthetic fleet, with the wire's names."""

from bench.capacity.sizes import Sizes

PACE = 4000  # table entries a second of the channel (assumed: no page tells it for the plan)
BACKLOG = 20_000  # table entries that the channel holds (assumed)
MESSAGE_HEAD = 3  # table entries that a message's head counts as (assumed)
DRAIN_GRACE_MS = 7000  # ms within which a drained backend must be out of all tables (assumed)
RACK = 40  # backends of one rack (assumed)
MACHINE_TYPES = 4


def backend_name(number: int) -> str:
    """The name of a backend, as long as the platform's."""
    return f"s-{number:08x}"


def row_of(number: int, zones: int, status: str = "ready", since_ms: int = 0) -> dict[str, object]:
    """A backend's entry in discovery's list."""
    return {
        "name": backend_name(number),
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8081",
        "zone": f"z{number % zones}",
        "type": f"m{number % MACHINE_TYPES}",
        "group": number // RACK,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def route_of(number: int) -> dict[str, object]:
    """A class of the settings, with every field that the settings may tell of one."""
    return {
        "name": f"route-{number:05d}",
        "semantics": ("free", "guarded", "single_shot")[number % 3],
        "key_scope": "all",
        "window_us": 60_000_000,
        "aim_us": 1_000_000,
        "give_up_us": 3_000_000,
        "worth": 1.0 + number % 5,
        "late_share": 0.2,
    }


def wire_settings(sizes: Sizes, index: int = 0) -> dict[str, object]:
    """The settings as the platform writes them, for the coordinator with this index among its peers."""
    return {
        "zones": [f"z{zone}" for zone in range(sizes.zones)],
        "balancers": sizes.planners,
        "index": index,
        "permissions": {"probes": True},
        "classes": [route_of(number) for number in range(sizes.classes)],
        "family_info": {
            "egress_per_s": PACE,
            "most_waiting": BACKLOG,
            "envelope": MESSAGE_HEAD,
            "proxy_count": sizes.planners * sizes.proxies,
            "admit": "fraction",
            "bootstrap": 5,
        },
        "rules": {
            "stop_sending_within_us": DRAIN_GRACE_MS * 1000,
            "cold_us": 10_000_000,
            "cold_from": 0.2,
            "fall_multiple": 4,
            "fall_us": 3_000_000,
        },
    }


def configuration(
    sizes: Sizes, listen: str = "127.0.0.1:0", discovery: str = "127.0.0.1:9"
) -> dict[str, object]:
    """The configuration file of one coordinator, as an object.

    Tenants have no field in the settings; they stand as a list that the program reads over, so that their
    cost in the file is measured and not assumed.
    """
    return {
        "name": "capacity",
        "listen": listen,
        "discovery": discovery,
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 256},
        "peers": [f"10.128.{n // 250}.{n % 250}:7946" for n in range(sizes.planners)],
        "tenants": [{"name": f"tenant-{n:06d}", "route": n % sizes.classes} for n in range(sizes.tenants)],
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [row_of(number, sizes.zones) for number in range(sizes.backends)],
        },
        "settings": wire_settings(sizes),
    }
