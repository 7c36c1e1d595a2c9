"""A refusal that a door can tell in its own protocol's words."""


class Refused(Exception):
    """`tag`: an error tag of RFC 6241; `why`: one sentence; `path`: ((name, {key: value}), ...) of what is
    wrong; `info`: names and texts that the tag asks for."""

    def __init__(self, tag, why, path=(), **info):
        super().__init__(why)
        self.tag, self.why, self.path, self.info = tag, why, tuple(path), info
