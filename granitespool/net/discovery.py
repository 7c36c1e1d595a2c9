"""Discovery: a watch of the list, dialled again whenever it ends or goes silent.

The list that was last heard stays meanwhile."""

import socket

import h11
import orjson

from granitespool.endpoints import SOCKET_ENTRY, endpoint_from_wire
from granitespool.errors import InvalidInputError
from granitespool.fields import required_field, required_number
from granitespool.net.client import ask, dial, receive
from granitespool.net.config import address
from granitespool.net.loop import SECOND
from granitespool.planner.events import EndpointListUpdate, ListForm
from granitespool.units import MILLISECOND

DIAL = SECOND  # ns for a connection to come up: the agent is on this machine
BEAT = 9 * SECOND // 4  # ns without a byte after which a watch is dead: an empty line comes every 2 s
LINE = 4 * BEAT  # ns within which a line has to end: what is to be told counts as told after 6 s
REASK = SECOND  # ns until what could not be read is asked for again, the first time
REASK_MOST = 60 * SECOND  # ns between two such askings at most: an entry may stay wrong for good
WAIT_FIRST = SECOND // 20  # ns before the first new dialling
WAIT_MOST = SECOND  # ns between diallings at most: the agent answers at no cost
GROWTH = 2  # factor from one wait to the next
JITTER = 0.5, 1.0  # part of the wait that is waited
LINE_MOST = 8 << 20  # bytes of one line: a list of ten thousand backends


class Discovery:
    def __init__(self, loop, coordinator, log, config, uniform):
        self.loop, self.coordinator, self.log, self.uniform = loop, coordinator, log, uniform
        self.where, self.index, self.told_at = config["discovery"], 0, loop.now
        self.heard_at = loop.now  # when a line came last, news or not
        self.after, self.unread = 0, False  # version that is asked from; was anything since it not readable
        self.fresh, self.reask, self.reask_at = True, REASK, 0  # is the next message a watch's first
        self.addresses = {}  # of every backend listed and not yet forgotten; None: none was told
        self.named = False  # whether any list has named anyone
        self.news(config["known"])
        self.task = loop.spawn(self._watch())

    def new_config(self, config):
        """Watches at the new address, from the version that is held; the list stays meanwhile."""
        if config["discovery"] != self.where:
            self.where = config["discovery"]
            self.loop.end(self.task)
            self.task = self.loop.spawn(self._watch())

    def news(self, message):
        """Reports one message of the list; an entry that is wrong is left out."""
        message = {"type": "list", **message} if isinstance(message, dict) else {"type": "list"}
        index, entries, unread = required_number(message, "index", int), [], False
        if index < self.after and not message.get("snapshot"):
            # Against changes that another copy of discovery is late with: what is held is newer. A whole list
            # stands for itself, whatever its version. Harm: none by the protocol, changes come in order.
            return self.log.often("stale_endpoint_list", index=index, held_index=self.index)
        form, first = ListForm.COMPLETE if message.get("snapshot") else ListForm.CHANGES, not self.named
        for row in required_field(message, "endpoints", list):
            try:
                entry = endpoint_from_wire(row, SOCKET_ENTRY)
            except InvalidInputError as error:
                self.log.often("endpoint_skipped", reason=str(error))
                form = ListForm.CHANGES  # what cannot be read is not gone: nobody leaves by being left out
                unread = True
                continue
            entries.append(entry)
            self._address(entry.name, row.get("address"))
        self.index, self.told_at = index, self.loop.now
        self._read_up_to(index, unread)
        self.named = self.named or bool(self.addresses)
        if not self.named:
            return  # the first list that names anyone is the one to start from
        if first:
            form = ListForm.RESTORED
        if entries or form != ListForm.CHANGES:
            self.coordinator.report(self.loop.now, EndpointListUpdate(form, entries))
        self.log.event("endpoint_list", kind=form, index=index, entries=len(entries))

    def _read_up_to(self, index, unread):
        """Keeps the version to ask from: that before the first entry that could not be read, until a watch
        from there has told it again and all of it was readable."""
        if self.fresh or not self.unread:
            if unread and not self.unread:
                self.reask = REASK
            self.unread = unread
            if unread:
                self.reask_at = self.loop.now + self.reask
                self.reask = min(REASK_MOST, 2 * self.reask)
        if not self.unread:
            self.after = index
        self.fresh = False

    def forget(self, backend):
        self.addresses.pop(backend, None)

    def _address(self, backend, told):
        known = self.addresses.setdefault(backend)
        try:
            self.addresses[backend] = address(told) if told else known
        except InvalidInputError as error:  # the entry holds, it only cannot be probed at a new place
            self.log.often("endpoint_skipped", backend=backend, reason=str(error))

    def _watch(self):
        wait = WAIT_FIRST
        while True:
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
                    yield from dial(sock, self.where, self.loop.now + DIAL)
                    http = yield from ask(
                        sock, self.where, f"/discovery/hosts?watch=1&after={self.after}", self.loop.now + DIAL
                    )
                    waiting, self.fresh, whole_by = b"", True, self.loop.now + LINE
                    while (event := http.next_event()) is not None:
                        if event is h11.NEED_DATA:
                            if self.loop.now >= whole_by:
                                raise InvalidInputError("a line of the list did not end in time")
                            http.receive_data((yield from receive(sock, min(self.loop.now + BEAT, whole_by))))
                        elif isinstance(event, h11.Response) and event.status_code != 200:
                            raise InvalidInputError(f"the list's watch was answered {event.status_code}")
                        elif isinstance(event, h11.Data):
                            wait = WAIT_FIRST
                            *lines, waiting = (waiting + event.data).split(b"\n")
                            if lines:
                                self.heard_at, whole_by = self.loop.now, self.loop.now + LINE
                            for line in filter(bytes.strip, lines):
                                self._line(line)
                            if len(waiting) > LINE_MOST:
                                raise InvalidInputError("a line of the list is over the limit")
                            if self.unread and not self.fresh and self.loop.now >= self.reask_at:
                                raise InvalidInputError("what could not be read is asked for again")
                        elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                            raise InvalidInputError("the list's watch was ended")
            except Exception as error:  # whatever it is: without a watch the list would stand for ever
                self.log.event(
                    "watch_ended",
                    reason=str(error) or type(error).__name__,
                    index=self.index,
                    silence_ms=(self.loop.now - self.heard_at) // MILLISECOND,
                )
            yield None, 0, self.loop.now + int(wait * self.uniform(*JITTER))
            wait = min(WAIT_MOST, wait * GROWTH)

    def _line(self, line):
        try:
            self.news(orjson.loads(line))
        except ValueError:
            raise InvalidInputError("a line of the list is not JSON") from None
