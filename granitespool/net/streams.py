"""The coordinator's address: proxies' streams, collectors, and strangers who say nothing.

Each connection is one coroutine, which owns its socket and its reader. A proxy's stream that is replaced by a
later one of the same proxy ends without a leaving."""
import errno
import socket

from granitespool.net.frames import LARGEST, PONG, Reader, frame, updates
from granitespool.net.loop import IN, OUT, SECOND
from granitespool.settings import COUNT_MOST, MS, MS_MOST, BadInput, figure, load_map, need

BACKLOG = 4096            # connections the system holds for us: all proxies at once after a restart
ACCEPTS = 64              # connections taken in one turn: the others are served between
READ_MOST = 256 * 1024    # bytes read from one party in one turn: twice what may stand unread
UNSENT_MOST = 64 * 1024   # bytes of answers that wait for one party: who asks more and reads none is cut off
JOINING = 3 * SECOND // 2  # ns from accept to joining, whatever is sent meanwhile: a proxy joins at once
FIRST_MOST = 1024         # bytes of a stranger's message at most: a joining takes a tenth
YOUNG = SECOND // 20      # ns for which a stranger does not give way: a proxy's joining may be on its way
UNHEARD = 6 * SECOND      # ns beyond a full channel's that a stream may bring nothing after an order
SERIAL_MOST = 65535       # the highest mark: the protocol's
FULL_WAIT = SECOND // 50  # ns between accepts while there is no room


def time(message, key):
    """A time that must be there, in whole nanoseconds."""
    return int(figure(message, key, most=MS_MOST) * MS)


def count(message, key):
    return figure(message, key, most=COUNT_MOST)


class Connection:
    def __init__(self, sock, peer, pool, now):
        self.sock, self.peer, self.reader, self.since = sock, peer, Reader(pool, FIRST_MOST), now
        self.role, self.proxy, self.unsent, self.task = "stranger", None, b"", None
        self.joining, self.asked, self.away = {}, None, False  # a proxy's words; asked when; is it silent
        self.ours = False                                      # it is we who end it


class Streams:
    def __init__(self, loop, coordinator, log, pool, config, backends):
        self.backends = backends                 # those the list has named
        self.loop, self.coordinator, self.log, self.pool = loop, coordinator, log, pool
        self.new_config(config)
        self.connections, self.strangers = {}, {}  # in order of age; those of them that have not joined
        self.proxies = {}                        # number -> its current stream
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(config["listen"])
        self.listener.listen(BACKLOG)
        loop.spawn(self._accept())

    def new_config(self, config):
        """Who has joined stays, whatever the new figures are; they hold for who comes from now on."""
        settings = config["settings"]
        self.zones = set(settings.get("zones") or ())
        self.proxies_expected = settings.get("proxies_expected") or 65535
        self.most = config["connections"]
        # An order is answered once it has passed the channel, and reports may wait for others' as long
        pace, full = settings.get("lines_per_s") or 1e9, settings.get("backlog_limit") or 0
        self.unheard = UNHEARD + int(SECOND * full / pace)

    def _accept(self):
        with self.listener:
            while True:
                yield self.listener.fileno(), IN, None
                for taken in range(ACCEPTS):
                    if len(self.connections) >= self.most and not self._make_room():
                        yield None, 0, self.loop.now + FULL_WAIT
                        break
                    try:
                        sock, peer = self.listener.accept()
                    except BlockingIOError:
                        break
                    except OSError as error:
                        if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                            continue  # gone before it was taken
                        # The system says so before it looks whether anyone waits: only the first time in a
                        # turn does somebody surely wait, and room must be made.
                        if not taken and not self._make_room():
                            yield None, 0, self.loop.now + FULL_WAIT
                        break
                    try:
                        self._take(sock, f"{peer[0]}:{peer[1]}")
                    except OSError as error:  # reset already: it must not end the accepting
                        sock.close()
                        self.log.often("refused", peer=peer[0], why=str(error))

    def _take(self, sock, peer):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock, peer, self.pool, self.loop.now)
        self.connections[connection] = self.strangers[connection] = None
        connection.task = self.loop.spawn(self._serve(connection))

    def _make_room(self, but=None):
        """Gives up the oldest stranger, or where there is none the oldest collector; never a proxy's stream.
        Against floods of strangers: they give way to who may be a proxy, but not before their own joining can
        have come. What else it holds for: all proxies at once. Harm: past so many at once, others wait."""
        oldest = next((each for each in self.strangers if each is not but), None)
        if oldest is None:
            oldest = next((each for each in self.connections if each.role == "collector"), None)
        elif self.loop.now - oldest.since < YOUNG:
            return False
        if oldest is None or oldest is but:
            return False
        self.log.often("given_up", peer=oldest.peer, role=oldest.role)
        self.loop.end(oldest.task)
        return True

    def _serve(self, connection):
        reason = "closed"
        try:
            if not self._read(connection):       # what came with it: a joining must not wait among strangers
                return
            while True:
                if connection.role == "stranger":
                    due = connection.since + JOINING
                else:
                    due = connection.asked and connection.asked + self.unheard
                events = yield connection.sock.fileno(), IN | (OUT if connection.unsent else 0), due
                if not events and due and self.loop.now >= due:
                    if connection.role == "stranger":
                        raise BadInput("it has not joined in time")
                    self._away(connection)
                if connection.unsent:
                    self._write(connection, b"")
                # Not when poked: the turn is closed by then, and what it reports would miss its mark
                if events and not self._read(connection):
                    return
        except GeneratorExit:
            reason = "given up"
            raise
        except BadInput as error:
            reason = str(error)
            self._refuse(connection, reason)
        except OSError as error:
            reason = error.strerror or str(error)
        except Exception:
            connection.ours = True
            raise
        finally:
            self._end(connection, reason)

    def _end(self, connection, reason):
        del self.connections[connection]
        self.strangers.pop(connection, None)
        connection.sock.close()
        connection.reader.close()
        if self.proxies.get(connection.proxy) is connection:
            del self.proxies[connection.proxy]
            # What we end ourselves has not left by the protocol: what waits for it stays in the account
            self.coordinator.report(self.loop.now, "left", proxy=connection.proxy, silent=connection.ours)
        elif connection.role == "proxy":
            reason = "replaced"
        if connection.role != "stranger":
            self.log.event("ended", peer=connection.peer, role=connection.role, proxy=connection.proxy,
                           why=reason)
        elif reason not in ("closed", "given up"):
            self.log.often("refused", peer=connection.peer, why=reason)

    @staticmethod
    def _refuse(connection, why):
        """A last word to a stranger, as far as it can be written at once."""
        if connection.role == "stranger":
            try:
                connection.sock.send(frame({"type": "refused", "why": why}))
            except OSError:
                pass                 # it is closed all the same

    def _take_in(self, connection, role):
        del self.strangers[connection]
        connection.role, connection.reader.largest = role, LARGEST

    def _away(self, connection):
        """A proxy that answers no mark and reports nothing is cut off: it counts as left until it speaks,
        so that nothing is booked or written for it. Its stream stays: it is the proxy's to end."""
        connection.away, connection.asked = True, None
        self.log.event("away", peer=connection.peer, proxy=connection.proxy)
        self.coordinator.report(self.loop.now, "left", proxy=connection.proxy, silent=True)

    def _back(self, connection):
        connection.away = False
        self.log.event("back", peer=connection.peer, proxy=connection.proxy)
        self.coordinator.report(self.loop.now, "joined", again=True,
                                **{**connection.joining, "standing": False})

    def _read(self, connection):
        """Reads and reports what is there; False once the other side has ended."""
        reader, total = connection.reader, 0
        while total < READ_MOST:
            view = reader.room()
            if view is None and self._make_room(connection):
                view = reader.room()
            if view is None:
                connection.ours = True
                raise BadInput("no buffer is free for its message")
            try:
                size = connection.sock.recv_into(view)
            except BlockingIOError:
                if not reader.have:
                    reader.close()
                return True
            if not size:
                return False
            total += size
            connection.asked = None
            if connection.away:
                self._back(connection)
            reader.received(size)
            for message in reader.messages():
                self._message(connection, message)
        return True

    def _message(self, connection, message):
        kind = message["type"]
        if kind == "ping":
            if len(connection.unsent) <= UNSENT_MOST:
                self._write(connection, PONG)
            elif connection.role != "proxy":
                raise BadInput("it asks and does not read")
        elif connection.role == "stranger" and kind in ("joined", "collector"):
            getattr(self, "_" + kind)(connection, message)
        elif connection.role == "stranger":
            raise BadInput(f"a {kind!r:.40} came before its sender said who it is" if kind else
                           "a message is not an object with a type")
        elif kind in ("applied", "heard", "usage"):
            try:
                getattr(self, "_" + kind)(connection, message)
            except BadInput as error:
                self.log.often("dropped", peer=connection.peer, proxy=connection.proxy, why=str(error))
            except Exception as error:
                # Against a fault of ours that some message wakes: it must not cost its sender the connection,
                # and with a collector all of its zone's reports. Harm: the fault shows in the log alone.
                self.loop.failed(error)
        else:
            self.log.often("dropped", peer=connection.peer, proxy=connection.proxy,
                           why=f"a {kind!r:.40} has no place here" if kind else "it is no object with a type")

    def _one_of(self, message, key, known):
        value = need(message, key, str)
        if value not in known:
            raise BadInput(f"the field {key!r} of a {message['type']!r} names the unknown {value!r:.60}")
        return value

    def _number(self, message):
        number = figure(message, "node", int)
        if number >= self.proxies_expected:
            raise BadInput(f"a {message['type']!r} names the unknown proxy {number!r:.20}")
        return number

    def _collector(self, connection, message):
        zone = self._one_of(message, "locality", self.zones)
        self._take_in(connection, "collector")
        self.log.event("collector", peer=connection.peer, zone=zone)

    def _joined(self, connection, message):
        number, zone = self._number(message), self._one_of(message, "locality", self.zones)
        rate = message.get("w")
        rate = figure(message, "w") if rate is not None else 0
        cold = need(message, "cold", bool)
        before = self.proxies.get(number)
        self._take_in(connection, "proxy")
        connection.proxy = number
        connection.joining = {"proxy": number, "zone": zone, "standing": cold, "rate": rate}
        self.proxies[number] = connection
        self.log.event("joined", peer=connection.peer, proxy=number, zone=zone, cold=cold)
        self.coordinator.report(self.loop.now, "joined", **connection.joining)
        if before:               # it has moved on: the old stream carries nothing more
            self.loop.end(before.task)

    def _applied(self, connection, message):
        if connection.role != "proxy":
            raise BadInput("only a proxy's own stream brings its 'applied'")
        try:
            serial, took = figure(message, "nonce", int, SERIAL_MOST), time(message, "latency")
            self._own(connection, message)
        except BadInput:
            # It has answered some mark, at least the oldest: else its lines stay in the planner's account
            # until that mark counts as lost. What else it holds for: answers of another version. Harm: who
            # answers what it never applied makes its own lines count as gone too soon.
            self.coordinator.report(self.loop.now, "applied", proxy=connection.proxy, serial=None, took=None)
            raise
        self.coordinator.report(self.loop.now, "applied", proxy=connection.proxy, serial=serial, took=took)

    def _own(self, connection, message):
        number = self._number(message)
        if connection.role == "proxy" and number != connection.proxy:
            raise BadInput(f"a {message['type']!r} names the proxy {number} on another's stream")
        return number

    def _heard(self, connection, message):
        tries, failed = count(message, "total"), count(message, "errors")
        load = need(message, "metrics", dict) if message.get("metrics") is not None else None
        if failed > tries:
            raise BadInput(f"a 'heard' tells {failed!r:.20} errors of {tries!r:.20} tries")
        self.coordinator.report(
            self.loop.now, "heard", zone=self._one_of(message, "locality", self.zones),
            backend=self._one_of(message, "endpoint", self.backends), tries=tries, failed=failed,
            mean=time(message, "rtt"),
            window=time(message, "interval"), load=load_map(load))

    def _usage(self, connection, message):
        self.coordinator.report(
            self.loop.now, "arrivals", proxy=self._own(connection, message),
            grade=self._one_of(message, "route", self.coordinator.classes), number=count(message, "total"),
            unanswered=count(message, "errors"), window=time(message, "interval"))

    def _write(self, connection, data):
        unsent = connection.unsent + data
        try:
            sent = connection.sock.send(unsent) if unsent else 0
        except BlockingIOError:
            sent = 0
        connection.unsent = unsent[sent:]

    def send(self, proxy):
        """Writes a proxy's next order, unless it has not taken the one before: then orders merge."""
        connection = self.proxies.get(proxy)
        if connection is None or connection.unsent:
            return
        order = self.coordinator.pick(proxy)
        if order is None:
            return
        try:
            self._write(connection, updates(order))
        except OSError:
            pass                 # the coroutine meets the same end when it reads
        if order["mark"] is not None and connection.asked is None:
            connection.asked = self.loop.now
        self.loop.poke(connection.task)          # it waits anew, for the socket or for the answer
