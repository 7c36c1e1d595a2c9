"""Metrics in the logs of several coordinators, and the command that combines them."""

import re
from contextlib import closing

import pytest
from support import wire_messages as messages
from support.service_harness import ServiceHarness

from bench import fleet
from granitespool import operator_settings
from granitespool.units import MILLISECOND, SECOND


class ReportingService(ServiceHarness):
    """A service that logs its metrics each second."""

    def __init__(self, name):
        super().__init__()
        self.name, self.figures = name, operator_settings.FiguresSettings(backends=2)

    def configuration(self):
        return {
            **super().configuration(),
            "name": self.name,
            "operator": operator_settings.OperatorSettings(figures=self.figures),
        }


def start(service, backends):
    """Play the first 1.5 seconds of a service: its backends, a proxy and the collector `k`."""
    service.configure(proxies_expected=9, entries_per_s=100, backlog_limit=500, drain_grace=5 * SECOND)
    service.backends.start(*backends)
    service.clients.join("p", 1)
    service.discovery.accept_watch()
    service.clients.connect("k")
    service.clients.send("k", messages.collector("n"))
    service.advance_to(1500 * MILLISECOND)


def report_failures(service, backend):
    """Send two load reports in which every attempt failed."""
    for _ in range(2):
        report = messages.load_report(backend, total=9, errors=9, rtt=0, interval=1000)
        service.clients.send("k", report)


def logged_events(service):
    return list(fleet.parse_events(service.log.text.encode()))


def test_rows_of_two_coordinators_are_combined_on_one_time_axis():
    logs = {}
    for name in ("x", "y"):
        with closing(ReportingService(name)) as service:
            start(service, "abcde")
            if name == "x":
                report_failures(service, "b")
                service.advance_to(2200 * MILLISECOND)
            logs[name] = logged_events(service)
    assert any(event["event"] == "metrics" for event in logs["x"])
    last = [
        row
        for second, row in fleet.rows_by_second(logs).items()
        if all(name in row and row[name].metrics for name in ("x", "y"))
    ][-1]
    row = fleet.combine_rows(last.values())
    assert row.joined == 2
    assert row.unassigned == 0
    assert row.admitted_share == 1.0
    text = fleet.report(logs, per_coordinator=True, backends=True)
    assert " x " in text and " y " in text and "b ejected at 1" in text


def test_the_age_of_the_oldest_message_in_flight_grows_until_its_proxy_acknowledges():
    with closing(ReportingService("x")) as service:
        start(service, "abcde")
        service.clients.join("q", 2)
        service.clients.wait_for("q", '"ticket"')
        service.advance_to(4500 * MILLISECOND)
        ages = [
            event["oldest_in_flight_ms"] for event in logged_events(service) if event["event"] == "metrics"
        ]
        assert ages == sorted(ages)
        assert 2000 <= ages[-1] - ages[0] <= 4000
        rows = fleet.rows_by_second({"x": logged_events(service)})
        assert fleet.combine_rows(rows[max(rows)].values()).oldest_in_flight_s == ages[-1] / 1000
        for proxy, name in ((1, "p"), (2, "q")):
            barriers = re.findall(r'"ticket":(\d+)', service.clients.sent_to[name])
            service.clients.send(name, messages.applied(node=proxy, nonce=int(barriers[-1]), latency=100.0))
        service.advance_to(5500 * MILLISECOND)
        last = [event for event in logged_events(service) if event["event"] == "metrics"][-1]
        assert last["oldest_in_flight_ms"] < 1000


def test_metrics_have_the_total_of_entries_by_what_they_were_sent_for():
    with closing(ReportingService("x")) as service:
        start(service, "abcde")
        service.clients.join("q", 2)
        service.clients.wait_for("q", '"ticket"')
        service.discovery.send_line(messages.list_changes(8, messages.listed("a", status="draining")))
        service.advance_to(3500 * MILLISECOND)
        first, *_, last = (event for event in logged_events(service) if event["event"] == "metrics")
        assert first["entries_by_kind"] == {
            "assignment": first["total_entries"],
            "mandatory": 0,
            "change": 0,
            "exclusion": 0,
            "admission": 0,
        }
        assert last["entries_by_kind"]["mandatory"] > 0
        assert sum(last["entries_by_kind"].values()) == last["total_entries"]


@pytest.mark.parametrize(
    "line", [b"", b"no event", b'0.12 {"at_ms":5,"event":"met', b'{"event":"x"}', b"[1]", b"\xff\xfe{"]
)
def test_lines_without_an_event_are_skipped(line):
    valid = b'0.190 {"at_ms":7,"event":"endpoint_list","name":"n"}'
    assert [event["at_ms"] for event in fleet.parse_events(line + b"\n" + valid + b"\n" + line)] == [7]


def test_metrics_list_at_most_the_configured_outliers_and_are_off_by_default():
    with closing(ReportingService("x")) as service:
        start(service, [f"a{number}" for number in range(9)])
        for number in range(3):
            report_failures(service, f"a{number}")
        service.advance_to(3500 * MILLISECOND)
        metrics = [event for event in logged_events(service) if event["event"] == "metrics"]
    assert len(metrics[-1]["outliers"]) == 2
    assert metrics[-1]["outliers_omitted"] == 1
    with closing(ServiceHarness()) as service:
        start(service, "abcde")
        service.advance_to(3500 * MILLISECOND)
        event_names = [event["event"] for event in logged_events(service)]
    assert "serving" in event_names and "metrics" not in event_names
