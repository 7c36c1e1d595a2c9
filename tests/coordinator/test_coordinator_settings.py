"""Settings that hold for the life of a coordinator."""

import msgspec

from granitespool.coordinator import Coordinator
from granitespool.settings import RequestClass, Settings

SETTINGS = Settings(zones=["n"], classes=[RequestClass(name="pay")], coordinator_index=1)


def test_a_setting_that_waits_for_a_restart_has_the_name_of_the_deployments_settings():
    coordinator = Coordinator(SETTINGS, 1, 0)
    changed = msgspec.structs.replace(SETTINGS, coordinator_index=2, subscribe=True, drain_grace=5)
    assert coordinator.fixed_settings_changed(changed) == ["subscribe", "index"]
    assert coordinator.apply_settings(1, changed) == ["subscribe", "index"]
    assert coordinator.settings == msgspec.structs.replace(SETTINGS, drain_grace=5)


def test_values_of_request_classes_change_at_once_and_their_names_wait():
    coordinator = Coordinator(SETTINGS, 1, 0)
    other_value = msgspec.structs.replace(SETTINGS, classes=[RequestClass(name="pay", priority_weight=2)])
    assert coordinator.apply_settings(1, other_value) == []
    assert coordinator.settings.classes[0].priority_weight == 2
    other_name = msgspec.structs.replace(SETTINGS, classes=[RequestClass(name="look")])
    assert coordinator.apply_settings(2, other_name) == ["classes"]
    assert coordinator.settings.class_names == ["pay"]
