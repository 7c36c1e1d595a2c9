"""gNMI paths over a tree of the module: names, keys, wildcards; no I/O.

A path here is a list of (name, {key: text}). "*" stands for any one name or key, "..." for any number of
names."""

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.management import model
from granitespool.management.errors import Refused

ANY, DEEP = "*", "..."
ELEMENTS_MOST = 32  # elements of a path: the module is six deep


def path_of(prefix, path):
    """A path of a prefix and a path message, from the root."""
    for each in (prefix, path):
        if each.origin not in ("", model.MODULE) or each.element:
            raise Refused("invalid-value", "paths have elem, and the origin is empty or " + model.MODULE)
    elements = [
        (each.name.removeprefix(model.MODULE + ":"), dict(each.key)) for each in (*prefix.elem, *path.elem)
    ]
    if len(elements) > ELEMENTS_MOST:
        raise Refused("invalid-value", f"a path is over {ELEMENTS_MOST} elements")
    return elements


def message_of(path):
    return pb.Path(elem=[pb.PathElem(name=name, key=keys) for name, keys in path])


def check(top, path):
    """Refused where no node of the module can match."""
    if not any(True for _ in _nodes([top], path)):
        raise Refused("unknown-element", "there is no " + text(path), tuple(path))


def _nodes(candidates, path):
    if not path:
        yield from candidates
        return
    (name, keys), rest = path[0], path[1:]
    if name == DEEP:
        yield from _nodes(candidates, rest)
        for node in candidates:
            yield from _nodes(list(node.children.values()), path)
        return
    for node in candidates:
        if name in (ANY, node.name) and set(keys) <= set(node.keys):
            yield from _nodes(list(node.children.values()), rest) if rest else (node,)


def text(path):
    return "/" + "/".join(
        name + "".join(f"[{key}={value}]" for key, value in keys.items()) for name, keys in path
    )


def found(node, value, path, at=()):
    """Yields (path, node, value) of all that a path matches in the value of a node; entries of lists each."""
    if not path:
        yield at, node, value
        return
    (name, keys), rest = path[0], path[1:]
    if name == DEEP:
        yield from found(node, value, rest, at)
        for child, below, here in _children(node, value, at) if rest else ():
            yield from found(child, below, path, here)
        return
    for child, below, here in _children(node, value, at):
        if name in (ANY, child.name) and _keys_match(keys, here[-1][1]):
            yield from found(child, below, rest, here)


def _keys_match(wanted, keys):
    return all(value == ANY or str(keys.get(key)) == value for key, value in wanted.items())


def _children(node, value, at):
    if node.kind.startswith("leaf"):
        return
    for name, below in value.items():
        child = node.children[name]
        if child.kind == "list":
            for entry in below:
                yield child, entry, (*at, (name, {key: str(entry[key]) for key in child.keys}))
        else:
            yield child, below, (*at, (name, {}))


def leaves(node, value, at=()):
    """Yields (path, node, value) of all leaves and leaf-lists within a value."""
    if node.kind.startswith("leaf"):
        yield at, node, value
        return
    for child, below, here in _children(node, value, at):
        yield from leaves(child, below, here)
