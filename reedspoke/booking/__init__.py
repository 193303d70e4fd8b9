"""Slots of the hosts booked ahead of time, over the whole fleet, as agreed on by its granters."""
