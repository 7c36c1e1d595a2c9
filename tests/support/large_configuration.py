"""A configuration with any number of peers and backends."""


def large_configuration(peers, backends, **more):
    """Return a coordinator's configuration with `peers` peers and `backends` backends."""
    return {
        "name": "t",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1f",
        "limits": {"sockets": 16384, "memory_mb": 192},
        "peer_listen": "127.0.0.1:0",
        "peers": [f"127.1.{n // 250}.{n % 250}:7946" for n in range(peers)],
        "peers_all": "127.1.255.1:7946",
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": f"s{n}",
                    "address": f"127.2.{n // 250}.{n % 250}:80",
                    "zone": f"z{n % 3}",
                    "type": "m",
                    "group": n // 8,
                    "status": "ready",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for n in range(backends)
            ],
        },
        "settings": {
            "zones": ["z0", "z1", "z2"],
            "balancers": peers,
            "permissions": {"peers": True},
            "classes": [{"name": "a", "aim_us": 1000000}],
            "family_info": {
                "egress_per_s": 20000.0,
                "most_waiting": 400000.0,
                "envelope": 3.0,
                "proxy_count": 8192,
                "admit": "fraction",
            },
            "rules": {"stop_sending_within_us": 30000000},
        },
        **more,
    }
