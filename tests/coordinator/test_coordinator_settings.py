"""Settings that take effect only by a restart of the coordinator."""

import msgspec

from granitespool.coordinator import Coordinator
from granitespool.settings import RequestClass, Settings

SETTINGS = Settings(zones=["n"], classes=[RequestClass(name="pay")], coordinator_index=1)


def test_settings_that_need_a_restart_are_returned_by_their_deployment_names():
    coordinator = Coordinator(SETTINGS, 1, 0)
    changed = msgspec.structs.replace(SETTINGS, coordinator_index=2, subscribe=True, drain_grace=5)
    assert coordinator.fixed_settings_changed(changed) == ["subscribe", "index"]
    assert coordinator.apply_settings(1, changed) == ["subscribe", "index"]
    assert coordinator.settings == msgspec.structs.replace(SETTINGS, drain_grace=5)


def test_values_of_request_classes_change_at_once_and_names_only_by_a_restart():
    coordinator = Coordinator(SETTINGS, 1, 0)
    other_value = msgspec.structs.replace(SETTINGS, classes=[RequestClass(name="pay", priority_weight=2)])
    assert coordinator.apply_settings(1, other_value) == []
    assert coordinator.settings.classes[0].priority_weight == 2
    other_name = msgspec.structs.replace(SETTINGS, classes=[RequestClass(name="look")])
    assert coordinator.apply_settings(2, other_name) == ["classes"]
    assert coordinator.settings.class_names == ["pay"]
