"""Guard conditions of the contact with a majority of voters, one test each."""

from __future__ import annotations

from reedspoke.control_plane.replication.view import Member
from reedspoke.control_plane.views.majority_contact import MajorityContact

STARTED = 100.0
VOTERS = tuple(Member(folder, f"at-{folder}") for folder in ("a", "b", "c"))


def test_confirmations_of_two_views_make_no_majority() -> None:
    contact = MajorityContact(STARTED)
    contact.record_confirmation("a", STARTED + 3.0, STARTED + 3.0)
    contact.enter_view()
    assert not contact.has_confirmed("a")
    contact.record_confirmation("c", STARTED + 5.0, STARTED + 5.0)
    contact.update(VOTERS, committed_until=STARTED + 5.0)
    assert contact.majority_as_of is None


def test_a_confirmed_time_does_not_go_back() -> None:
    contact = MajorityContact(STARTED)
    for folder_id in ("a", "b"):
        contact.record_confirmation(folder_id, STARTED + 5.0, STARTED + 5.0)
    contact.update(VOTERS, committed_until=STARTED + 5.0)
    contact.update(VOTERS, committed_until=STARTED + 4.0)
    assert contact.confirmed_as_of == STARTED + 5.0
