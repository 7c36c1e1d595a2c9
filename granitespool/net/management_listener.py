"""A door for managers: a listener, TLS with certificates on both sides, and a protocol that knows no socket.

A protocol is made for a user once the handshake is done:

    made = make(user, session)    session: has `send(bytes)`, `end(why)`, `unsent`, `now()` and `wake()`
    made.begin()                  the connection is up
    made.received(bytes)          plain bytes
    made.work()                   a little of what takes long; True while there is more of it
    made.due(), made.tick(now)    its next timer, or None
    made.closed(why)              once, however it ends

Managers never cost a proxy anything: their connections have a number of their own, what they ask is worked
off in small steps, and who does not read is not read from."""

import errno
import socket
import time

from granitespool.net.listen_address import bind
from granitespool.net.loop import IN, OUT, SECOND
from granitespool.net.tls import Broken, Secure

BACKLOG = 16  # connections the system holds for us: managers are few
HANDSHAKE = 5 * SECOND  # ns for the handshake: a long way and a slow client's signature
READ = 8 * 1024  # bytes read in one turn: some thirty calls of gRPC, three milliseconds
WRITE = 64 * 1024  # bytes written in one call
UNSENT_HIGH = 256 * 1024  # bytes that wait for one manager past which nothing is read or worked on for it
UNSENT_MOST = 4 << 20  # bytes that may wait at all: the largest answer in the making, and notifications
STEP = 2_000_000  # ns of work in one turn for all of a door: half of what a turn may grow by
FULL_WAIT = SECOND // 20  # ns between accepts while there is no room


class Session:
    """One connection; its coroutine owns the socket."""

    def __init__(self, door, sock, peer):
        self.door, self.sock, self.peer = door, sock, peer
        self.secure, self.buffer, self.user = Secure(door.context), bytearray(), None
        self.protocol = self.task = self.ending = None
        self.since = self.heard = door.loop.now

    @property
    def unsent(self):
        return len(self.buffer)

    def now(self):
        return self.door.loop.now

    def send(self, data):
        """Plain bytes; written as the other side takes them."""
        self.secure.write(data)
        self.buffer += self.secure.outgoing()
        if len(self.buffer) > UNSENT_MOST:
            self.end("it does not read")

    def end(self, why):
        """Ends the connection once what waits is written, as far as it can be at once."""
        self.ending = self.ending or why

    def wake(self):
        """Has the coroutine look again in the next turn; for who changes a session from outside."""
        self.door.woken[self] = None


class Door:
    """`users`: a function of (certificate, digest) that gives a user or None; `make(user, session)` a
    protocol."""

    def __init__(self, loop, log, name, context, settings, users, make):
        self.loop, self.log, self.name = loop, log, name
        self.context, self.users, self.make = context, users, make
        self.most, self.idle = settings.sessions, int(settings.idle_s * SECOND)
        self.streams = getattr(settings, "streams", None)  # calls at once on one connection, where it has any
        self.half_open = max(2, self.most // 2)
        self.sessions, self.woken, self.spent, self.turn = {}, {}, 0, None
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, _, port = settings.listen.rpartition(":")
        try:
            bind(self.listener, (host, int(port)), log)
        except OSError:
            self.listener.close()
            raise
        self.listener.listen(BACKLOG)
        loop.spawn(self._accept())

    def _accept(self):
        with self.listener:
            while True:
                yield self.listener.fileno(), IN, None
                if not self._room():
                    yield None, 0, self.loop.now + FULL_WAIT
                    continue
                try:
                    sock, peer = self.listener.accept()
                except OSError as error:
                    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        yield None, 0, self.loop.now + FULL_WAIT
                    continue
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNSENT_HIGH)  # the system's share too
                session = Session(self, sock, f"{peer[0]}:{peer[1]}")
                self.sessions[session] = None
                session.task = self.loop.spawn(self._serve(session))

    def _room(self):
        """Whether another may come. Against hundreds of half-open handshakes: the oldest of them gives way,
        so that who has a certificate gets in. Harm: a slow handshake among many is cut off."""
        opening = [each for each in self.sessions if each.protocol is None]
        if len(opening) >= self.half_open:
            self.loop.end(opening[0].task)
        return len(self.sessions) < self.most + self.half_open

    def _serve(self, session):
        why = "closed"
        try:
            while session.ending is None:
                mask = (OUT if session.buffer else 0) | (IN if session.unsent < UNSENT_HIGH else 0)
                events = yield session.sock.fileno(), mask, self._due(session)
                self.woken.pop(session, None)
                if not events:
                    self._timers(session)
                if session.buffer:
                    self._flush(session)
                if events & ~OUT and not self._read(session):
                    break
                self._work(session)
            why = session.ending or why
            self._flush(session)
        except GeneratorExit:
            why = "given up"
            raise
        except Broken as error:
            why = str(error)
            session.buffer += session.secure.outgoing()
            self._last(session)
        except OSError as error:
            why = error.strerror or str(error)
        finally:
            self._end(session, why)

    def _due(self, session):
        if session.protocol is None:
            return session.since + HANDSHAKE
        if self._busy(session):
            return self.loop.now + 1  # a step in each turn; due now, it would be resumed in this one
        idle = None if session.protocol.keeps else session.heard + self.idle
        dues = [due for due in (idle, session.protocol.due()) if due is not None]
        return max(min(dues), self.loop.now + 1) if dues else None

    def _busy(self, session):
        return session.unsent < UNSENT_HIGH and session.protocol.busy

    def _timers(self, session):
        now = self.loop.now
        if session.protocol is None:
            if now >= session.since + HANDSHAKE:
                session.end("no handshake in time")
            return
        if now >= session.heard + self.idle and not session.protocol.keeps:
            session.end("idle")
        session.protocol.tick(now)

    def _read(self, session):
        try:
            data = session.sock.recv(READ)
        except BlockingIOError:
            return True
        session.heard = self.loop.now
        plain = session.secure.feed(data)
        session.buffer += session.secure.outgoing()
        if session.protocol is None and session.secure.up:
            self._enter(session)
        if plain and session.ending is None:
            session.protocol.received(plain)
        self._flush(session)
        return bool(data) and not session.secure.ended

    def _enter(self, session):
        certificate, digest = session.secure.peer()
        session.user = self.users(certificate, digest)
        if session.user is None:
            subject = [value for pairs in certificate.get("subject", ()) for _, value in pairs]
            session.end(f"no user has the certificate of {', '.join(subject)[:100] or digest}")
            return
        if sum(each.protocol is not None for each in self.sessions) >= self.most:
            session.end("there are as many sessions as may be")
            return
        session.protocol = self.make(session.user, session)
        self.log.event("manager_connected", listener=self.name, peer=session.peer, user=session.user.name)
        session.protocol.begin()

    def _work(self, session):
        """Some of what takes long, within this turn's share."""
        if session.protocol is None or session.ending is not None:
            return
        if self.turn != self.loop.now:
            self.turn, self.spent = self.loop.now, 0
        while self.spent < STEP and self._busy(session):
            begun = time.perf_counter_ns()
            session.protocol.work()
            self.spent += time.perf_counter_ns() - begun
        self._flush(session)

    @staticmethod
    def _flush(session):
        while session.buffer:
            try:
                sent = session.sock.send(session.buffer[:WRITE])
            except BlockingIOError:
                return
            del session.buffer[:sent]

    def _last(self, session):
        try:
            self._flush(session)
        except OSError:
            pass  # it is closed all the same

    def _end(self, session, why):
        del self.sessions[session]
        self.woken.pop(session, None)
        try:
            if session.protocol is not None:
                session.protocol.closed(why)
                session.secure.close()
                session.buffer += session.secure.outgoing()
                self._last(session)
        finally:
            session.sock.close()
        if session.protocol is not None:
            self.log.event(
                "manager_disconnected",
                listener=self.name,
                peer=session.peer,
                user=session.user.name,
                reason=why,
            )
        elif why not in ("closed", "given up"):
            self.log.often("manager_rejected", listener=self.name, peer=session.peer, reason=why)

    def end_of_turn(self):
        """Resumes sessions that others have changed: what was sent to them is written."""
        for session in list(self.woken):
            self.woken.pop(session, None)
            if session.task is not None:
                self.loop.poke(session.task)
