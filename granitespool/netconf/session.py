"""One NETCONF session: bytes in, bytes out, the datastores behind it; no socket and no clock of its own."""

from lxml import etree

from granitespool.management import model
from granitespool.management.authorization import must_read, must_write
from granitespool.management.datastores import CANDIDATE, RUNNING, STARTUP, STORES
from granitespool.management.edits import differing, edited, with_defaults
from granitespool.management.errors import Refused
from granitespool.netconf import xmltree
from granitespool.netconf.framing import Reader, Wrong, framed
from granitespool.netconf.xmltree import BASE, Malformed, name_of, space_of, text_of

BASE_10, BASE_11 = "urn:ietf:params:netconf:base:1.0", "urn:ietf:params:netconf:base:1.1"
NOTIFICATION = "urn:ietf:params:xml:ns:netconf:notification:1.0"
MONITORING = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring"
DEFAULTS = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults"
CAPABILITY = "urn:ietf:params:netconf:capability:"
CAPABILITIES = (
    BASE_10,
    BASE_11,
    CAPABILITY + "candidate:1.0",
    CAPABILITY + "confirmed-commit:1.1",
    CAPABILITY + "rollback-on-error:1.0",
    CAPABILITY + "validate:1.1",
    CAPABILITY + "startup:1.0",
    CAPABILITY + "xpath:1.0",
    CAPABILITY + "notification:1.0",
    CAPABILITY + "interleave:1.0",
    CAPABILITY + "with-defaults:1.0?basic-mode=explicit&also-supported=report-all",
    MONITORING + "?module=ietf-netconf-monitoring&revision=2010-10-04",
    f"{model.NAMESPACE}?module={model.MODULE}&revision={model.REVISION}",
)
MESSAGE_MOST = 1 << 20  # bytes of a message: a thousand classes take a tenth
WAITING_MOST = 16  # requests that wait for the one in the making
CONFIRM = 600  # s that a commit waits to be confirmed where the client says nothing: the RFC's
NOTE_MOST = 256 * 1024  # bytes that wait for a session past which it gets no notification
STORE_OF = {name: name for name in STORES}
PROTOCOL = {
    "bad-attribute",
    "missing-attribute",
    "unknown-attribute",
    "bad-element",
    "malformed-message",
    "unknown-namespace",
    "operation-not-supported",
    "missing-element",
    "unknown-element",
}


class Netconf:
    """The protocol of one session, as net.door has them. `managing` has the datastores, the model, pictures,
    sessions by number, and what happened."""

    def __init__(self, managing, user, session, number):
        self.managing, self.user, self.session, self.number = managing, user, session, number
        self.reader, self.greeted = Reader(MESSAGE_MOST), False
        self.requests, self.running = [], None  # elements that wait; the generator of the one in the making
        self.waits = False  # whether a commit's answer is still to come
        self.subscribed, self.dropped = None, 0
        self.open = True

    # What the door asks of a protocol

    @property
    def busy(self):
        return self.open and not self.waits and (self.running is not None or bool(self.requests))

    @property
    def keeps(self):
        """Whether silence is no reason to end it: a subscriber has nothing to say."""
        return self.subscribed is not None or self.waits

    def begin(self):
        hello = etree.Element(f"{{{BASE}}}hello", nsmap={None: BASE})
        capabilities = etree.SubElement(hello, f"{{{BASE}}}capabilities")
        for each in CAPABILITIES:
            etree.SubElement(capabilities, f"{{{BASE}}}capability").text = each
        etree.SubElement(hello, f"{{{BASE}}}session-id").text = str(self.number)
        self._write(hello)

    def received(self, data):
        self.reader.feed(data)
        try:
            for message in self.reader.messages():
                self._message(message)
                if not self.open:
                    return
        except (Wrong, Malformed) as error:
            self._finish(str(error))

    def due(self):
        return None

    def tick(self, now):
        """Nothing of it is timed: what a commit waits for belongs to the datastores."""

    def work(self):
        """A piece of the request in the making, or the next one's first."""
        if self.running is None:
            if not self.requests or self.waits:
                return
            self.running = self._request(self.requests.pop(0))
        try:
            next(self.running)
        except StopIteration:
            self.running = None

    def leave(self):
        """NETCONF has no notice that the server goes; the end of TLS says it."""

    def closed(self, why):
        self.open = False
        self.requests, self.running = [], None
        self.managing.left(self)

    # Messages

    def _write(self, element):
        data = etree.tostring(element, xml_declaration=True, encoding="UTF-8")
        self.session.send(framed(data, self.reader.chunked))

    def _finish(self, why):
        self.open = False
        self.session.end(why)

    def _message(self, data):
        root = xmltree.parsed(data)
        if not self.greeted:
            return self._hello(root)
        if root.tag != f"{{{BASE}}}rpc":
            raise Malformed(f"a {name_of(root)!r:.40} came where an rpc should")
        if len(self.requests) >= WAITING_MOST:
            raise Malformed(f"over {WAITING_MOST} requests wait")
        self.requests.append(root)

    def _hello(self, root):
        theirs = {text_of(each) for each in root.iter(f"{{{BASE}}}capability")}
        if root.tag != f"{{{BASE}}}hello" or not theirs & {BASE_10, BASE_11}:
            raise Malformed("the first message is no hello with a base capability")
        if root.find(f"{{{BASE}}}session-id") is not None:
            raise Malformed("a client's hello has a session-id")
        self.greeted = True
        self.reader.chunked = BASE_11 in theirs

    def _request(self, rpc):
        """Plays one rpc in pieces and answers it."""
        reply = etree.Element(f"{{{BASE}}}rpc-reply", attrib=dict(rpc.attrib), nsmap={None: BASE})
        try:
            if rpc.get("message-id") is None:
                raise Refused(
                    "missing-attribute", "an rpc has no message-id", attribute="message-id", element="rpc"
                )
            if len(rpc) != 1:
                raise Refused("malformed-message", "an rpc holds one operation")
            operation = rpc[0]
            play = OPERATIONS.get((space_of(operation), name_of(operation)))
            if play is None:
                raise Refused("operation-not-supported", f"there is no operation {name_of(operation)!r:.40}")
            steps = play(self, operation, reply)
            if steps is not None:
                yield from steps
            if not len(reply):
                etree.SubElement(reply, f"{{{BASE}}}ok")
        except Refused as refused:
            for each in list(reply):
                reply.remove(each)
            reply.append(error_of(refused, self.managing.number_of))
        except Exception as error:
            # Against a fault of ours that some request wakes: it costs that request alone. Harm: the fault
            # shows
            # in the log and as one error only.
            self.managing.failed(error)
            for each in list(reply):
                reply.remove(each)
            reply.append(
                error_of(
                    Refused("operation-failed", "the coordinator failed at it, see its log"),
                    self.managing.number_of,
                )
            )
        if self.session.ending is None:
            self._write(reply)
            if self.open and name_of(rpc[0] if len(rpc) else rpc) == "close-session":
                self._finish("closed by the client")

    # Parts of requests

    def _store(self, element, name):
        """The datastore that a target or source names."""
        holder = element.find(f"{{{BASE}}}{name}")
        if holder is None or len(holder) != 1:
            raise Refused("missing-element", f"{name_of(element)} lacks one {name}", element=name)
        return self._named(holder[0])

    @staticmethod
    def _named(element):
        if name_of(element) == "url":
            raise Refused("operation-not-supported", "there is no url capability")
        if name_of(element) not in STORE_OF:
            raise Refused(
                "bad-element", f"there is no datastore {name_of(element)!r:.40}", element=name_of(element)
            )
        return name_of(element)

    @staticmethod
    def _word(element, name, known, usual):
        text = element.findtext(f"{{{BASE}}}{name}")
        text = usual if text is None else text.strip()
        if text not in known:
            raise Refused("invalid-value", f"{name} cannot be {text!r:.40}", element=name)
        return text

    def _settings(self, config):
        """The element of our settings within a config element, or None where it holds nothing of ours."""
        for top in config:
            if top.tag != f"{{{model.NAMESPACE}}}{model.TOP}":
                raise Refused(
                    "unknown-namespace" if space_of(top) != model.NAMESPACE else "unknown-element",
                    f"there is no {name_of(top)!r:.40} here",
                    element=name_of(top),
                    namespace=space_of(top) or "",
                )
            for each in top:
                if name_of(each) == model.STATE:
                    raise Refused(
                        "invalid-value", "state cannot be set", ((model.TOP, {}), (model.STATE, {}))
                    )
                if each.tag != f"{{{model.NAMESPACE}}}{model.SETTINGS}":
                    raise Refused(
                        "unknown-element", f"there is no {name_of(each)!r:.40} here", element=name_of(each)
                    )
                operation = each.get(f"{{{BASE}}}operation") or top.get(f"{{{BASE}}}operation")
                return each, operation
        return None, None

    def _tree(self, config):
        """The whole tree that a config element holds."""
        settings, _ = self._settings(config)
        node = self.managing.model.settings
        return {} if settings is None else edited(node, {}, xmltree.changes(node, settings))

    def _data(self, reply, element, whole):
        """Puts `whole` ({settings or state: tree}) into the reply, through the request's filter, in
        pieces."""
        chosen = element.find(f"{{{BASE}}}filter")
        kind = "subtree" if chosen is None else chosen.get("type") or "subtree"
        top = self.managing.model.top
        if chosen is not None and kind == "subtree":
            whole = self._subtree(top, whole, chosen)
        elif kind not in ("subtree", "xpath"):
            raise Refused(
                "bad-attribute",
                f"there is no filter of the type {kind!r:.40}",
                attribute="type",
                element="filter",
            )
        data = etree.SubElement(reply, f"{{{BASE}}}data")
        if whole:
            element_ = etree.SubElement(
                data, f"{{{model.NAMESPACE}}}{top.name}", nsmap={None: model.NAMESPACE}
            )
            for step, _ in enumerate(xmltree.filled(element_, top, whole)):
                if step % PIECE == 0:
                    yield
        if kind == "xpath":
            yield
            self._xpath(data, chosen)

    @staticmethod
    def _subtree(top, whole, chosen):
        result = None
        for each in chosen:
            if name_of(each) == top.name and space_of(each) in (model.NAMESPACE, None):
                part = xmltree.selected(top, whole, each)
                result = part if result is None else {**result, **(part or {})}
        return result

    @staticmethod
    def _xpath(data, chosen):
        """Keeps what the expression selects, with what stands above it."""
        select = chosen.get("select")
        if select is None:
            raise Refused(
                "missing-attribute", "an xpath filter needs select", attribute="select", element="filter"
            )
        spaces = {prefix: uri for prefix, uri in chosen.nsmap.items() if prefix}
        try:
            root = etree.Element("root")
            root.extend(list(data))
            found = etree.ElementTree(root).xpath(
                select if select.startswith("//") else "/root" + select if select.startswith("/") else select,
                namespaces=spaces,
                smart_strings=False,
            )
        except etree.XPathError as error:
            raise Refused("invalid-value", f"select cannot be used: {error}", element="filter") from None
        if not isinstance(found, list):
            raise Refused("invalid-value", "select chooses no nodes", element="filter")
        keep, within = set(), set()
        for node in found:
            if etree.iselement(node):
                within.add(node)
                keep.update(node.iterancestors())
        _cut(root, keep, within)
        for each in list(root):
            data.append(each)

    def _defaults(self, element, tree):
        mode = element.findtext(f"{{{DEFAULTS}}}with-defaults")
        if mode is None or mode.strip() == "explicit":
            return tree
        if mode.strip() != "report-all":
            raise Refused(
                "invalid-value", f"with-defaults cannot be {mode.strip()!r:.40}", element="with-defaults"
            )
        return with_defaults(self.managing.model.settings, tree)

    # Operations

    def get(self, element, reply):
        must_read(self.user)
        picture = self.managing.picture()
        yield from picture.steps()
        settings = self._defaults(element, self.managing.datastores.tree(RUNNING))
        yield from self._data(reply, element, {model.SETTINGS: settings, model.STATE: picture.tree})

    def get_config(self, element, reply):
        must_read(self.user)
        tree = self._defaults(element, self.managing.datastores.tree(self._store(element, "source")))
        yield from self._data(reply, element, {model.SETTINGS: tree})

    def edit_config(self, element, reply):
        store = self._store(element, "target")
        default = self._word(element, "default-operation", ("merge", "replace", "none"), "merge")
        test = self._word(element, "test-option", ("test-then-set", "set", "test-only"), "test-then-set")
        # an edit is one change of one tree, so each of the options ends in all or nothing
        self._word(
            element,
            "error-option",
            ("stop-on-error", "continue-on-error", "rollback-on-error"),
            "stop-on-error",
        )
        config = element.find(f"{{{BASE}}}config")
        if config is None:
            raise Refused("missing-element", "edit-config lacks a config", element="config")
        stores, node = self.managing.datastores, self.managing.model.settings
        settings, operation = self._settings(config)
        changes = () if settings is None else xmltree.changes(node, settings)
        before = stores.tree(store)
        if operation in ("delete", "remove", "replace") or default == "replace":
            kept = {} if operation in ("delete", "remove") else edited(node, {}, changes)
            must_write(self.user, differing(before, kept))
            if test != "test-only":
                stores.copy(self, store, kept)
            else:
                stores.validate(kept)
        else:
            must_write(self.user, sorted({change.name for change in changes}))
            stores.edit(self, store, changes, operation or default, test)
        return self._wait(self.managing.keep_startup) if store == STARTUP and test != "test-only" else None

    def copy_config(self, element, reply):
        target = self._store(element, "target")
        source = element.find(f"{{{BASE}}}source")
        if source is None or len(source) != 1:
            raise Refused("missing-element", "copy-config lacks one source", element="source")
        stores = self.managing.datastores
        if name_of(source[0]) == "config":
            tree = self._tree(source[0])
        else:
            tree = stores.tree(self._named(source[0]))
        must_write(self.user, differing(stores.tree(target), tree))
        stores.copy(self, target, tree)
        if target == STARTUP:
            yield from self._wait(self.managing.keep_startup)

    def delete_config(self, element, reply):
        store = self._store(element, "target")
        must_write(self.user, [*self.managing.model.settings.children])
        self.managing.datastores.delete(self, store)
        if store == STARTUP:
            yield from self._wait(self.managing.keep_startup)

    def lock(self, element, reply):
        self.managing.datastores.lock(self, self._store(element, "target"))

    def unlock(self, element, reply):
        self.managing.datastores.unlock(self, self._store(element, "target"))

    def validate(self, element, reply):
        source = element.find(f"{{{BASE}}}source")
        if source is None or len(source) != 1:
            raise Refused("missing-element", "validate lacks one source", element="source")
        stores = self.managing.datastores
        stores.validate(
            self._tree(source[0]) if name_of(source[0]) == "config" else stores.tree(self._named(source[0]))
        )

    def commit(self, element, reply):
        stores = self.managing.datastores
        must_write(self.user, differing(stores.tree(RUNNING), stores.tree(CANDIDATE)))
        confirmed = element.find(f"{{{BASE}}}confirmed") is not None
        timeout = element.findtext(f"{{{BASE}}}confirm-timeout")
        if timeout is not None and not timeout.strip().isdigit():
            raise Refused(
                "invalid-value",
                f"confirm-timeout cannot be {timeout.strip()!r:.40}",
                element="confirm-timeout",
            )
        yield from self._wait(
            lambda answer: stores.commit(
                self,
                self.user.name,
                self.session.now(),
                answer,
                timeout=(int(timeout) if timeout else CONFIRM) if confirmed else None,
                persist=element.findtext(f"{{{BASE}}}persist"),
                persist_id=element.findtext(f"{{{BASE}}}persist-id"),
            )
        )

    def cancel_commit(self, element, reply):
        yield from self._wait(
            lambda answer: self.managing.datastores.cancel(
                self, self.user.name, element.findtext(f"{{{BASE}}}persist-id"), answer
            )
        )

    def discard_changes(self, element, reply):
        self.managing.datastores.discard(self)

    def _wait(self, call):
        """Starts what is answered later and waits for it; nothing else of this session is played
        meanwhile."""
        answered = []

        def answer(error):
            answered.append(error)
            if self.waits:
                self.waits = False
                self.session.wake()

        call(answer)
        while not answered:
            self.waits = True
            yield
        if answered[0] is not None:
            raise answered[0]

    def close_session(self, element, reply):
        """Answered as any; `_request` ends the session after the answer."""

    def kill_session(self, element, reply):
        number = (element.findtext(f"{{{BASE}}}session-id") or "").strip()
        other = self.managing.session(number)
        if other is None or other is self:
            raise Refused("invalid-value", f"there is no other session {number!r:.20}", element="session-id")
        must_write(self.user, [*self.managing.model.settings.children])
        other.session.end(f"killed by {self.user.name}")
        other.session.wake()

    def get_schema(self, element, reply):
        must_read(self.user)
        name = (element.findtext(f"{{{MONITORING}}}identifier") or "").strip()
        version = (element.findtext(f"{{{MONITORING}}}version") or model.REVISION).strip()
        kind = (element.findtext(f"{{{MONITORING}}}format") or "yang").strip().rpartition(":")[2]
        if (name, version, kind) != (model.MODULE, model.REVISION, "yang"):
            raise Refused("invalid-value", f"there is no schema {name!r:.40} {version!r:.20} as {kind!r:.20}")
        etree.SubElement(reply, f"{{{MONITORING}}}data", nsmap={None: MONITORING}).text = model.source()

    def create_subscription(self, element, reply):
        must_read(self.user)
        stream = (element.findtext(f"{{{NOTIFICATION}}}stream") or "NETCONF").strip()
        if stream != "NETCONF":
            raise Refused("invalid-value", f"there is no stream {stream!r:.40}", element="stream")
        if element.find(f"{{{NOTIFICATION}}}startTime") is not None:
            raise Refused("operation-not-supported", "nothing of the past can be replayed")
        if self.subscribed is not None:
            raise Refused("in-use", "this session has a subscription")
        chosen = element.find(f"{{{NOTIFICATION}}}filter")
        self.subscribed = None if chosen is None else frozenset(name_of(each) for each in chosen)
        self.subscribed = self.subscribed if self.subscribed else frozenset()

    def notify(self, name, fields, at):
        """A notification; `at` as RFC 3339 has it. Who does not read gets none until it does."""
        if self.subscribed is None or not self.open or self.subscribed and name not in self.subscribed:
            return
        if self.session.unsent > NOTE_MOST:
            self.dropped += 1
            return
        note = etree.Element(f"{{{NOTIFICATION}}}notification", nsmap={None: NOTIFICATION})
        etree.SubElement(note, f"{{{NOTIFICATION}}}eventTime").text = at
        event = etree.SubElement(note, f"{{{model.NAMESPACE}}}{name}", nsmap={None: model.NAMESPACE})
        for key, value in fields.items():
            etree.SubElement(event, f"{{{model.NAMESPACE}}}{key}").text = (
                ("true" if value else "false") if isinstance(value, bool) else str(value)
            )
        self._write(note)
        self.session.wake()


PIECE = 20  # entries of lists put into a reply in one step: a fifth of a millisecond


def _cut(element, keep, within):
    for child in list(element):
        if child in within:
            continue  # all of it
        if child in keep:
            _cut(child, keep, within)
        else:
            element.remove(child)


def error_of(refused, number_of):
    """The rpc-error of a Refused."""
    error = etree.Element(f"{{{BASE}}}rpc-error", nsmap={None: BASE})

    def add(name, text):
        etree.SubElement(error, f"{{{BASE}}}{name}").text = text

    add("error-type", "protocol" if refused.tag in PROTOCOL and not refused.path else "application")
    add("error-tag", refused.tag)
    add("error-severity", "error")
    if refused.path:
        path = "".join(
            f"/gs:{name}"
            + "".join(f"[{'.' if key == '.' else 'gs:' + key}='{value}']" for key, value in keys.items())
            for name, keys in refused.path
        )
        place = etree.SubElement(error, f"{{{BASE}}}error-path", nsmap={"gs": model.NAMESPACE})
        place.text = path
    etree.SubElement(
        error, f"{{{BASE}}}error-message", attrib={"{http://www.w3.org/XML/1998/namespace}lang": "en"}
    ).text = refused.why
    if refused.info:
        info = etree.SubElement(error, f"{{{BASE}}}error-info")
        for key, value in refused.info.items():
            if key == "session":
                etree.SubElement(info, f"{{{BASE}}}session-id").text = str(number_of(value))
            elif value:
                etree.SubElement(info, f"{{{BASE}}}bad-{key}").text = str(value)
    return error


OPERATIONS = {
    (BASE, name): getattr(Netconf, name.replace("-", "_"))
    for name in (
        "get",
        "get-config",
        "edit-config",
        "copy-config",
        "delete-config",
        "lock",
        "unlock",
        "validate",
        "commit",
        "cancel-commit",
        "discard-changes",
        "close-session",
        "kill-session",
    )
}
OPERATIONS[MONITORING, "get-schema"] = Netconf.get_schema
OPERATIONS[NOTIFICATION, "create-subscription"] = Netconf.create_subscription
