"""Counting across coordinators: what a coordinator tells of itself, and the reader that adds it up."""

import pytest
from stage import Sockets

from bench import fleet
from granitespool import operator_settings


class Told(Sockets):
    """A service that tells its figures each second."""

    def __init__(self, name):
        super().__init__()
        self.name, self.figures = name, operator_settings.Figures(backends=2)

    def config(self):
        return {
            **super().config(),
            "name": self.name,
            "operator": operator_settings.Operator(figures=self.figures),
        }


def played(stage, lines):
    try:
        for step in filter(None, lines.replace("\n", "; ").split("; ")):
            stage.play(step)
        stage.do_feed()
        return list(fleet.lines(stage.log.encode()))
    finally:
        stage.end()


DAY = """set proxies_expected=9 entries_per_s=100 backlog_limit=500 drain_grace=5s
known a:n b:n c:n d:n e:n
joins p 1 n
grants
open k
say k {"type":"collector","locality":"n"}
at 1500ms
"""
FAILS = """say k {"type":"heard","locality":"n","endpoint":"b","total":9,"errors":9,"rtt":0,"interval":1000}
say k {"type":"heard","locality":"n","endpoint":"b","total":9,"errors":9,"rtt":0,"interval":1000}
at 2200ms
"""


def test_two_coordinators_are_put_on_one_axis_and_added_up():
    logs = {name: played(Told(name), DAY + more) for name, more in (("x", FAILS), ("y", ""))}
    assert any(event["event"] == "metrics" for event in logs["x"])
    last = [
        row
        for second, row in fleet.rows(logs).items()
        if all(name in row and row[name].metrics for name in ("x", "y"))
    ][-1]
    row = fleet.together(last.values())
    assert row.joined == 2
    assert row.unassigned == 0
    assert row.admitted_share == 1.0
    text = fleet.report(logs, each=True, backends=True)
    assert " x " in text and " y " in text and "b ejected at 1" in text


@pytest.mark.parametrize(
    "line", [b"", b"no event", b'0.12 {"at_ms":5,"event":"met', b'{"event":"x"}', b"[1]", b"\xff\xfe{"]
)
def test_what_is_no_event_is_left_out(line):
    good = b'0.190 {"at_ms":7,"event":"endpoint_list","name":"n"}'
    assert [event["at_ms"] for event in fleet.lines(line + b"\n" + good + b"\n" + line)] == [7]


def test_no_more_backends_are_told_than_asked_and_nothing_where_it_is_off():
    told = [
        event
        for event in played(
            Told("x"),
            DAY.replace("known a:n b:n c:n d:n e:n", "known " + " ".join(f"a{k}:n" for k in range(9)))
            + "\n".join(FAILS.replace('"b"', f'"a{k}"').replace("at 2200ms\n", "") for k in range(3))
            + "at 3500ms",
        )
        if event["event"] == "metrics"
    ]
    assert len(told[-1]["outliers"]) == 2
    assert told[-1]["outliers_omitted"] == 1
    off = [event["event"] for event in played(Sockets(), DAY + "at 3500ms")]
    assert "serving" in off and "metrics" not in off
