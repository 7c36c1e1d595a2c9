"""The coordinator's address: proxies' streams, collectors, and strangers who say nothing.

Each connection is one coroutine, which owns its socket and its reader. A proxy's stream that is replaced by a
later one of the same proxy ends without a leaving."""

import errno
import socket

from granitespool.net.bind import bind
from granitespool.net.frames import LARGEST, PONG, Reader, frame, updates
from granitespool.net.loop import IN, OUT, SECOND
from granitespool.settings import COUNT_MOST, MS, MS_MOST, BadInput, figure, load_map, need

BACKLOG = 4096  # connections the system holds for us: all proxies at once after a restart
ACCEPTS = 64  # connections taken in one turn: the others are served between
DROPPED = 16 * 1024  # bytes read at once of what nobody is to hear any more
READ_MOST = 256 * 1024  # bytes read from one party in one turn: twice what may stand unread
UNSENT_MOST = 64 * 1024  # bytes of answers that wait for one party: who asks more and reads none is cut off
JOINING = 3 * SECOND // 2  # ns from accept to joining, whatever is sent meanwhile: a proxy joins at once
FIRST_MOST = 1024  # bytes of a stranger's message at most: a joining takes a tenth
YOUNG = SECOND // 20  # ns for which a stranger does not give way: a proxy's joining may be on its way
UNHEARD = 6 * SECOND  # ns beyond a full channel's that a stream may bring nothing after an order
SERIAL_MOST = 65535  # the highest mark: the protocol's
FULL_WAIT = SECOND // 50  # ns between accepts while there is no room
SPARE = 4  # places for strangers beyond those who joined; from the descriptors kept for others
LINGER = SECOND // 4  # ns that last words may take to be read: under half of a planned restart's 0.7 s


def time(message, key):
    """A time that must be there, in whole nanoseconds."""
    return int(figure(message, key, most=MS_MOST) * MS)


def count(message, key):
    return figure(message, key, most=COUNT_MOST)


class Connection:
    def __init__(self, sock, peer, pool, now, number):
        self.sock, self.peer, self.reader, self.since = sock, peer, Reader(pool, FIRST_MOST), now
        self.number = number  # how many were accepted before it
        self.role, self.proxy, self.unsent, self.task = "stranger", None, b"", None
        self.joining, self.asked, self.away = {}, None, False  # a proxy's words; asked when; is it silent
        self.ours = self.left = False  # it is we who end it; its leaving is told


class Streams:
    def __init__(self, loop, coordinator, log, pool, config, backends):
        self.backends = backends  # those the list has named
        self.loop, self.coordinator, self.log, self.pool = loop, coordinator, log, pool
        self.new_config(config)
        self.connections, self.strangers = {}, {}  # in order of age; those of them that have not joined
        self.proxies = {}  # number -> its current stream
        self.accepted, self.last_until = 0, None  # connections so far; when all end, once they are to
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bind(self.listener, config["listen"], log)
        self.listener.listen(BACKLOG)
        self.accepting = loop.spawn(self._accept())

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
                    # Who comes while those who joined hold all places has one of a few more until it says who
                    # it is: a flood of strangers must not cost a collector its place.
                    full = len(self.connections) >= self.most and len(self.strangers) >= SPARE
                    if full and not self._make_room():
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
                        if not taken and not (self._make_room() or self._give_up_collector()):
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
        connection = Connection(sock, peer, self.pool, self.loop.now, self.accepted)
        self.accepted += 1
        self.connections[connection] = self.strangers[connection] = None
        connection.task = self.loop.spawn(self._serve(connection))

    def _make_room(self, but=None, holding=False):
        """Gives up the oldest stranger, of those that hold a buffer where one is sought; not who asks for it.
        Against floods of strangers: they give way to who may be a proxy, but not before their own joining can
        have come. What else it holds for: all proxies at once. Harm: past so many at once, others wait."""
        oldest = next(
            (each for each in self.strangers if each is not but and (each.reader.chain or not holding)), None
        )
        if oldest is None or self.loop.now - oldest.since < YOUNG:
            return False
        return self._give_up(oldest)

    def _give_up_collector(self, but=None, holding=False):
        """Gives up the oldest collector, which dials again; never a proxy's stream."""
        oldest = next(
            (
                each
                for each in self.connections
                if each.role == "collector" and each is not but and (each.reader.chain or not holding)
            ),
            None,
        )
        return oldest is not None and self._give_up(oldest)

    def _give_up(self, connection):
        self.log.often("given_up", peer=connection.peer, role=connection.role)
        self.loop.end(connection.task)
        return True

    def _serve(self, connection):
        reason = "closed"
        try:
            while self._read(connection):  # at once: a joining that came with it must not wait
                if connection.unsent:  # after what it sent: a reset ends the one, and not the other
                    self._write(connection, b"")
                events = 0
                while not events:
                    # A poke reads nothing: the turn is closed by then; what is reported would miss its mark
                    if self.last_until is not None:
                        reason = "given up"
                        return (yield from self._linger(connection))
                    due = self._due(connection)
                    events = yield connection.sock.fileno(), IN | (OUT if connection.unsent else 0), due
                    if not events and due and self.loop.now >= due:
                        if connection.role == "stranger":
                            raise BadInput("it has not joined in time")
                        self._away(connection)
            self._left(connection)
            if connection.unsent:  # it has ended its side alone, and may read still
                yield from self._linger(connection)
        except GeneratorExit:
            reason = "given up"
            raise
        except BadInput as error:
            reason = str(error)
            self._left(connection)
            if connection.role == "stranger":  # a last word, which must not be lost with the close
                self.log.often("refused", peer=connection.peer, why=reason)
                word, reason = frame({"type": "refused", "why": reason}), "refused"
                if not connection.unsent:  # else it reads nothing
                    connection.unsent = word
                    try:
                        yield from self._linger(connection)
                    except OSError:
                        pass  # it is gone already
        except OSError as error:
            reason = error.strerror or str(error)
        except Exception:
            connection.ours = True
            raise
        finally:
            self._end(connection, reason)

    def _due(self, connection):
        """When it has taken too long to join, or was silent for too long; None where nothing is awaited."""
        if connection.role == "stranger":
            return connection.since + JOINING
        return connection.asked and connection.asked + self.unheard

    def _linger(self, connection):
        """Writes what waits, ends our side and drops what still comes until the other ends its own, for a
        moment at most: a close over bytes that were not read resets, and takes with it what was sent."""
        sock, told, until = connection.sock, False, self.loop.now + LINGER
        while self.loop.now < until:
            self._write(connection, b"")
            if not connection.unsent and not told:
                sock.shutdown(socket.SHUT_WR)
                told = True
            ended, total = False, 0
            while not ended and total < READ_MOST:
                try:
                    dropped = len(sock.recv(DROPPED))
                except BlockingIOError:
                    break
                ended, total = not dropped, total + dropped
            if ended and told:
                return
            yield sock.fileno(), (0 if ended else IN) | (0 if told else OUT), until

    def finish(self):
        """No more are taken; each is told the end after what waits for it, and all have ended soon."""
        self.loop.end(self.accepting)
        self.last_until = self.loop.now + LINGER
        for connection in list(self.connections):
            self.loop.poke(connection.task)

    def _left(self, connection):
        """Its leaving, where it is a proxy's current stream."""
        if self.proxies.get(connection.proxy) is connection:
            del self.proxies[connection.proxy]
            # What we end ourselves has not left by the protocol: what waits for it stays in the account
            self.coordinator.report(self.loop.now, "left", proxy=connection.proxy, silent=connection.ours)
            connection.left = True

    def _end(self, connection, reason):
        del self.connections[connection]
        self.strangers.pop(connection, None)
        connection.sock.close()
        connection.reader.close()
        self._left(connection)
        if connection.role == "proxy" and not connection.left:
            reason = "replaced"
        if connection.role != "stranger":
            self.log.event(
                "ended", peer=connection.peer, role=connection.role, proxy=connection.proxy, why=reason
            )
        elif reason not in ("closed", "given up", "refused"):
            self.log.often("refused", peer=connection.peer, why=reason)

    def _take_in(self, connection, role, before=None):
        others = len(self.connections) - len(self.strangers) - (before is not None)
        if others >= self.most and not self._give_up_collector():
            raise BadInput("no place is free here")
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
        self.coordinator.report(
            self.loop.now, "joined", again=True, **{**connection.joining, "standing": False}
        )

    def _read(self, connection):
        """Reads and reports what is there; False once the other side has ended."""
        reader, total = connection.reader, 0
        while total < READ_MOST:
            view = reader.room()
            if view is None and (
                self._make_room(connection, holding=True) or self._give_up_collector(connection, holding=True)
            ):
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
            raise BadInput(
                f"a {kind!r:.40} came before its sender said who it is"
                if kind
                else "a message is not an object with a type"
            )
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
            self.log.often(
                "dropped",
                peer=connection.peer,
                proxy=connection.proxy,
                why=f"a {kind!r:.40} has no place here" if kind else "it is no object with a type",
            )

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
        if before and before.number > connection.number:
            # Against a joining that was held up until its proxy had dialled again: the stream that the proxy
            # gave up must not end the one it uses. Harm: a proxy that joins on the older of two is refused.
            raise BadInput(f"the proxy {number} has joined on a later connection")
        self._take_in(connection, "proxy", before)
        connection.proxy = number
        connection.joining = {"proxy": number, "zone": zone, "standing": cold, "rate": rate}
        self.proxies[number] = connection
        self.log.event("joined", peer=connection.peer, proxy=number, zone=zone, cold=cold)
        self.coordinator.report(self.loop.now, "joined", **connection.joining)
        if before:  # it has moved on: the old stream carries nothing more
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
        if connection.role == "proxy" and message.get("node") == connection.proxy:
            return connection.proxy  # also where a new configuration expects fewer proxies: who joined stays
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
            self.loop.now,
            "heard",
            zone=self._one_of(message, "locality", self.zones),
            backend=self._one_of(message, "endpoint", self.backends),
            tries=tries,
            failed=failed,
            mean=time(message, "rtt"),
            window=time(message, "interval"),
            load=load_map(load),
        )

    def _usage(self, connection, message):
        self.coordinator.report(
            self.loop.now,
            "arrivals",
            proxy=self._own(connection, message),
            grade=self._one_of(message, "route", self.coordinator.classes),
            number=count(message, "total"),
            unanswered=count(message, "errors"),
            window=time(message, "interval"),
        )

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
        data = updates(order)
        try:
            self._write(connection, data)
        except OSError:
            connection.unsent = data  # the coroutine meets the same end, or where it is none goes on with it
        if order["mark"] is not None and connection.asked is None:
            connection.asked = self.loop.now
        self.loop.poke(connection.task)  # it waits anew, for the socket or for the answer
