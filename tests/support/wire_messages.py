"""Messages of the proxy and discovery protocols as JSON text, which stand-ins send to a service."""

import json
from typing import Any

HEARTBEAT = '{"type":"ping"}'


def _compact(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def framed(text: str) -> bytes:
    """Return a message as framed on a stream: its length in four bytes, then its body."""
    body = text.encode()
    return len(body).to_bytes(4, "little") + body


def joined(node: Any, locality: str, w: float = 5.0, cold: bool = True) -> str:
    """Return the message with which a proxy joins."""
    return _compact({"type": "joined", "node": node, "locality": locality, "w": w, "cold": cold})


def collector(locality: Any) -> str:
    """Return the message with which a collector reports its zone."""
    return _compact({"type": "collector", "locality": locality})


def applied(node: int, nonce: Any, latency: float) -> str:
    """Return the acknowledgement of a barrier by a proxy; `latency` in ms."""
    return _compact({"type": "applied", "node": node, "nonce": nonce, "latency": latency})


def usage(node: int, route: str, total: Any = 1, errors: int = 0, interval: float = 1000.0) -> str:
    """Return a report of the requests of a class that reached a proxy; `interval` in ms."""
    fields = {"node": node, "route": route, "total": total, "errors": errors, "interval": interval}
    return _compact({"type": "usage", **fields})


def load_report(
    endpoint: str,
    total: Any,
    errors: Any = 0,
    rtt: Any = 1.0,
    interval: float = 1.0,
    locality: str = "n",
    **more: Any,
) -> str:
    """Return a load report of a zone for a backend; `rtt` and `interval` in ms."""
    fields = {"locality": locality, "endpoint": endpoint, "total": total, "errors": errors, "rtt": rtt}
    return _compact({"type": "heard", **fields, "interval": interval, **more})


def listed(
    name: str, status: str = "ready", zone: str = "n", address: str | None = None, **more: Any
) -> dict[str, Any]:
    """Return an entry of the endpoint list; the default address is that of the stand-in of this name."""
    return {"name": name, "address": address or f"@{name}", "zone": zone, "status": status, **more}


def list_changes(index: int, *entries: dict[str, Any]) -> str:
    """Return a line of discovery's watch with changed entries."""
    return _compact({"index": index, "snapshot": False, "endpoints": list(entries)})


def complete_list(index: int, *entries: dict[str, Any]) -> str:
    """Return a line of discovery's watch with all entries."""
    return _compact({"index": index, "snapshot": True, "endpoints": list(entries)})
