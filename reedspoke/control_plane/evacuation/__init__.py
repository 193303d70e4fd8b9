"""Evacuations of zones: operators order that no more requests are sent to the workers of a zone.

Each zone has its own tally for orders. An order is an add to that tally whose id is the number of the order;
the order with the highest number decides whether the zone is evacuated. So orders are as durable as
acknowledged adds, and are merged in the same way.

Each node reserves numbers ahead, by adds to another tally. A call asks all other nodes for their orders and
reservations, also for those that they have not synced yet, until so many have answered that one of them has
every order acknowledged earlier and every reservation (quorum intersection). Its order then gets a number
above all that it was told of, and above all numbers reserved by nodes that did not answer. So an order that
was logged but not acknowledged has a lower number than any later one (`order_numbering`), and an order is
accepted only if enough nodes are reachable, never on the smaller side of a partition.

The holder of the discovery lease publishes the workers of an evacuated zone as draining. Data plane nodes
then treat them like any draining worker, also for queued, retried and resumed requests.

`order_log` defines the adds; `order_numbering` decides which number an order gets; `number_reservation`
reserves numbers; `service` carries orders out. The package stores no state of its own: orders and
reservations are in the tallies. It may import `common` and `control_plane.tallies`.
"""
