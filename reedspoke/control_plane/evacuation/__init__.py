"""Evacuations of zones: operators' orders that nothing more is sent to the workers of a zone.

An order is an add to a tally of its own for each zone, under the next number: the newest number says whether
the zone is evacuated. So orders are as durable as acknowledged adds, are merged like them, and may be sent
again. Before an order gets its number, its node has heard, after the order came, from so many nodes that one
of them has every order acknowledged before (quorum intersection); so orders are accepted only where enough
nodes are in reach, and never on the smaller side of a partition.

The holder of the discovery lease publishes the workers of an evacuated zone as draining, so that the order
takes the way on which data plane nodes obey a drain: queued, retried and resumed requests included.

`order_log` numbers orders and reads them; `service` carries them out. The package owns no state but a cache:
orders are in the tallies. It may import `common`, `control_plane.tallies`.
"""
