"""Guards the names that leave the process against a rename inside that changes what others read or write.

A name that is renamed, added or removed in the code has to be changed in docs/external-names.txt too.
"""

import pytest
from support.external_names import computed, listed


@pytest.mark.parametrize("group", computed())
def test_the_list_has_the_names_that_the_code_uses(group):
    assert sorted(computed()[group]()) == sorted(listed()[group])


def test_no_listed_group_is_empty():
    assert [group for group, names in listed().items() if not names] == []


def test_each_computed_group_asks_the_code_for_at_least_one_name():
    assert [group for group, names in computed().items() if not names()] == []
