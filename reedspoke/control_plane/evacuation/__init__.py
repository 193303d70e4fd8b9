"""Evacuations of zones: operators order that no more requests are sent to the workers of a zone.

Each zone has its own tally for orders. An order is an add to that tally whose id is the next order number;
the order with the highest number decides whether the zone is evacuated. So orders are as durable as
acknowledged adds, are merged in the same way, and can be repeated safely. Before an order gets its number,
its node waits for digests, newer than the order, from so many nodes that one of them has every order
acknowledged earlier (quorum intersection). So an order is accepted only if enough nodes are reachable, and
never on the smaller side of a partition.

The holder of the discovery lease publishes the workers of an evacuated zone as draining. Data plane nodes
then treat them like any draining worker, also for queued, retried and resumed requests.

`order_log` numbers and interprets orders; `service` carries them out. The package stores no state of its own:
orders are in the tallies. It may import `common` and `control_plane.tallies`.
"""
