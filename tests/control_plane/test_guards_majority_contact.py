"""Guards of the contact with a majority of voters, one at a time."""

from __future__ import annotations

from reedspoke.control_plane.replication.view import Member
from reedspoke.control_plane.views.majority_contact import MajorityContact

STARTED = 100.0
VOTERS = tuple(Member(folder, f"at-{folder}") for folder in ("a", "b", "c"))


def test_a_grant_in_the_view_before_makes_no_majority_with_one_in_this_view() -> None:
    contact = MajorityContact(STARTED)
    contact.record_confirmation("a", STARTED + 3.0, STARTED + 3.0)
    contact.enter_view()
    assert not contact.has_confirmed("a")
    contact.record_confirmation("c", STARTED + 5.0, STARTED + 5.0)
    contact.update(VOTERS, committed_until=STARTED + 5.0)
    assert contact.majority_as_of is None


def test_what_was_confirmed_stays_so_after_what_says_less() -> None:
    contact = MajorityContact(STARTED)
    for folder_id in ("a", "b"):
        contact.record_confirmation(folder_id, STARTED + 5.0, STARTED + 5.0)
    contact.update(VOTERS, committed_until=STARTED + 5.0)
    contact.update(VOTERS, committed_until=STARTED + 4.0)
    assert contact.confirmed_as_of == STARTED + 5.0
