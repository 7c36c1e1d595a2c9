"""Probes: one coroutine for each health check in the air, which owns its socket."""

import socket

import h11

from granitespool.coordinator import PROBES
from granitespool.endpoints import load_metrics
from granitespool.net.client import ask, dial, receive
from granitespool.net.loop import SECOND

ANSWER = SECOND // 2  # ns from the start to the answer: half the planner's period
DIAL = SECOND // 4  # ns for a connection to come up, where the settings name no time
BODY_MOST = 4096  # bytes of a load report that are kept


class Probes:
    def __init__(self, loop, coordinator, log, config, addresses):
        self.loop, self.coordinator, self.log, self.addresses = loop, coordinator, log, addresses
        self.flying = 0
        self.new_config(config)

    def new_config(self, config):
        self.dial, self.most = config["settings"].connect_timeout or DIAL, config["probes"]

    def start(self):
        """Starts what is asked for, as far as there is room."""
        while self.flying < self.most and (backend := self.coordinator.pick(PROBES)) is not None:
            self.loop.spawn(self._probe(backend))

    def _probe(self, backend):
        # "error" while nothing was asked yet: that no descriptor was free says nothing of the backend
        started, load, status = self.loop.now, {}, "error"
        self.flying += 1
        try:
            if where := self.addresses.get(backend):
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
                    status = "unreachable"
                    yield from dial(sock, where, started + self.dial)
                    status = "timeout"
                    status, load = yield from self._ask(sock, where, started + ANSWER)
        except TimeoutError:
            pass  # unreachable before the connection was up, timeout after
        except (OSError, h11.ProtocolError):
            status = "reset" if status == "timeout" else status
        finally:
            self.flying -= 1
        # a turn of its own: the one that asked is not ended before the answer is reported
        yield None, 0, self.loop.now
        self.log.event(
            "health_check", backend=backend, status=status, duration_ms=(self.loop.now - started) // 1_000_000
        )
        self.coordinator.report(
            self.loop.now, "probed", backend=backend, status=status, took=self.loop.now - started, load=load
        )

    @staticmethod
    def _ask(sock, where, due):
        code, body = None, b""
        http = yield from ask(sock, where, "/metrics/load", due, ("Connection", "close"))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data((yield from receive(sock, due)))
            elif isinstance(event, h11.Response):
                code = event.status_code
            elif isinstance(event, h11.Data):
                body = (body + event.data)[:BODY_MOST]
            else:
                break
        pairs = (pair.partition("=")[::2] for pair in body.decode("ascii", "replace").split(","))
        load = load_metrics([(key.strip(), number(value)) for key, value in pairs])
        return {200: "ok", 503: "full"}.get(code, "error"), load


def number(text):
    try:
        return float(text)
    except ValueError:
        return None
