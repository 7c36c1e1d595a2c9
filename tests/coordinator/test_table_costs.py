"""What a table costs a proxy in the account of the channel is what the proxy is sent."""

from granitespool.proxy_updates import ProxyUpdates


def entries_of(update):
    return sum(len(table.entries) for table in update.tables) + len(update.excluded) + len(update.readmitted)


# Guards against entries in the channel that the account lacks: exclusions sent together with a table
def test_the_cost_of_a_table_has_the_exclusions_that_are_sent_with_it():
    updates = ProxyUpdates(["a"])
    for backend in ("s1", "s2", "s3"):
        updates.set_entry(0, backend, 1.0)
    updates.exclude("s2", excluded=True)
    updates.join(1)
    changes = sum(updates.readmission_cost((1,), 0, None).values())
    updates.assign(1, 0, 0)
    updates.end_turn(None)
    assert entries_of(updates.next_update(1)) == 3 + changes == 4


def test_an_exclusion_that_a_proxy_has_costs_nothing_with_its_table():
    updates = ProxyUpdates(["a"])
    updates.set_entry(0, "s1", 1.0)
    updates.join(1)
    updates.exclude("s1", excluded=True)
    updates.end_turn(None)
    assert updates.next_update(1).excluded == ["s1"]
    changes = sum(updates.readmission_cost((1,), 0, None).values())
    updates.assign(1, 0, 0)
    updates.end_turn(None)
    assert entries_of(updates.next_update(1)) == 1 + changes == 1
