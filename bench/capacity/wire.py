"""Configuration and messages of the platform for a synthetic fleet, with the wire's names."""

from bench.capacity.sizes import Sizes

# Assumed values; the plan does not specify the rate.
CHANNEL_RATE = 4000  # table entries a second
CHANNEL_BACKLOG = 20_000  # table entries that the channel queues
MESSAGE_HEAD_ENTRIES = 3  # the protocol counts a message's head as this number of table entries
DRAIN_GRACE_MS = 7000  # a drained backend has to be out of all tables within this time
RACK_SIZE = 40  # backends in one rack

MACHINE_TYPES = 4


def backend_name(number: int) -> str:
    """Return the name of a backend, as long as the platform's names."""
    return f"s-{number:08x}"


def endpoint_row(number: int, zones: int, status: str = "ready", since_ms: int = 0) -> dict[str, object]:
    """Return a backend's endpoint list entry."""
    return {
        "name": backend_name(number),
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8081",
        "zone": f"z{number % zones}",
        "type": f"m{number % MACHINE_TYPES}",
        "group": number // RACK_SIZE,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def request_class(number: int) -> dict[str, object]:
    """Return a request class of the settings with every field that the settings may contain."""
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
    """Return the settings as the platform writes them for the coordinator with this index."""
    return {
        "zones": [f"z{zone}" for zone in range(sizes.zones)],
        "balancers": sizes.planners,
        "index": index,
        "permissions": {"probes": True},
        "classes": [request_class(number) for number in range(sizes.classes)],
        "family_info": {
            "egress_per_s": CHANNEL_RATE,
            "most_waiting": CHANNEL_BACKLOG,
            "envelope": MESSAGE_HEAD_ENTRIES,
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
    """Return the configuration file of one coordinator as an object.

    The settings have no field for tenants. The file contains them as a list that the program ignores, so that
    their cost is measured and not assumed.
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
            "endpoints": [endpoint_row(number, sizes.zones) for number in range(sizes.backends)],
        },
        "settings": wire_settings(sizes),
    }
