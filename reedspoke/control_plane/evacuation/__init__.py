"""Evacuations of zones: operators order that no more requests are sent to the workers of a zone.

Each zone has its own tally for orders. An order is an add to that tally whose id is the number of the order;
the order with the highest number decides whether the zone is evacuated. So orders are as durable as
acknowledged adds, and are merged in the same way.

A call first reserves a number, by an add to another tally, on as many disks as an order requires, and waits
for digests, newer than the call, from so many nodes that one of them has every order acknowledged earlier and
every number reserved earlier (quorum intersection). If its number is the highest one then, the order is
logged. So an order that was logged but not acknowledged has a lower number than any later one, and an order
is accepted only if enough nodes are reachable, never on the smaller side of a partition (`order_log`).

The holder of the discovery lease publishes the workers of an evacuated zone as draining. Data plane nodes
then treat them like any draining worker, also for queued, retried and resumed requests.

`order_log` numbers and interprets orders; `service` carries them out. The package stores no state of its own:
orders are in the tallies. It may import `common` and `control_plane.tallies`.
"""
