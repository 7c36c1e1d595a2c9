"""Counting across coordinators: the metrics that a coordinator logs, and the reader that adds them up."""

from collections.abc import Callable

import pytest
from support.service_harness import ServiceHarness

from bench import fleet
from granitespool import operator_settings
from granitespool.units import SECOND


class MeasuredHarness(ServiceHarness):
    """A service that logs its metrics each second."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name

    def config(self) -> dict:
        operator = operator_settings.Operator(figures=operator_settings.Figures(backends=2))
        return {**super().config(), "name": self.name, "operator": operator}


def start(harness: ServiceHarness, **backends: str) -> None:
    """A proxy and a collector, up to 1.5 s."""
    harness.set_settings(proxies_expected=9, entries_per_s=100, backlog_limit=500, drain_grace=5 * SECOND)
    harness.list_backends(**backends)
    harness.join_proxy("p", 1, "n")
    harness.accept_watch()
    harness.connect("k")
    harness.say("k", {"type": "collector", "locality": "n"})
    harness.advance_to(1.5)


def report_failures(harness: ServiceHarness, backend: str) -> None:
    """Two reports of nine attempts that all failed."""
    for _ in range(2):
        harness.say(
            "k",
            {
                "type": "heard",
                "locality": "n",
                "endpoint": backend,
                "total": 9,
                "errors": 9,
                "rtt": 0,
                "interval": 1000,
            },
        )


def logged(harness: ServiceHarness, play: Callable[[ServiceHarness], None]) -> list[fleet.Event]:
    """The events that a service logs while it is played."""
    try:
        play(harness)
        return list(fleet.lines(harness.log.encode()))
    finally:
        harness.close()


def healthy(harness: ServiceHarness) -> None:
    start(harness, **dict.fromkeys("abcde", "n"))


def failing(harness: ServiceHarness) -> None:
    healthy(harness)
    report_failures(harness, "b")
    harness.advance_to(2.2)


def three_of_nine_failing(harness: ServiceHarness) -> None:
    start(harness, **{f"a{number}": "n" for number in range(9)})
    for number in range(3):
        report_failures(harness, f"a{number}")
    harness.advance_to(3.5)


def quiet(harness: ServiceHarness) -> None:
    healthy(harness)
    harness.advance_to(3.5)


def test_two_coordinators_are_put_on_one_axis_and_added_up():
    logs = {
        "x": logged(MeasuredHarness("x"), failing),
        "y": logged(MeasuredHarness("y"), healthy),
    }
    assert any(event["event"] == "metrics" for event in logs["x"])
    last = [
        row
        for row in fleet.rows(logs).values()
        if all(name in row and row[name].metrics for name in ("x", "y"))
    ][-1]
    row = fleet.together(last.values())
    assert row.joined == 2
    assert row.unassigned == 0
    assert row.admitted_share == 1.0
    text = fleet.report(logs, each=True, backends=True)
    for part in (" x ", " y ", "b ejected at 1"):
        assert part in text


@pytest.mark.parametrize(
    "line", [b"", b"no event", b'0.12 {"at_ms":5,"event":"met', b'{"event":"x"}', b"[1]", b"\xff\xfe{"]
)
def test_a_line_that_is_no_event_is_left_out(line):
    good = b'0.190 {"at_ms":7,"event":"endpoint_list","name":"n"}'
    assert [event["at_ms"] for event in fleet.lines(line + b"\n" + good + b"\n" + line)] == [7]


def test_no_more_outliers_are_named_than_the_settings_permit():
    events = logged(MeasuredHarness("x"), three_of_nine_failing)
    last = [event for event in events if event["event"] == "metrics"][-1]
    assert len(last["outliers"]) == 2
    assert last["outliers_omitted"] == 1


def test_no_metrics_are_logged_where_they_are_off():
    names = [event["event"] for event in logged(ServiceHarness(), quiet)]
    assert "serving" in names
    assert "metrics" not in names
