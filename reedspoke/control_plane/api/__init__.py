"""The operators' HTTP API: put and get the configuration, read the status of this node.

`http_server` and `http_connection` speak HTTP/1.1 and know nothing of the calls; `operator_api` maps requests
to an `OperatorBackend` and errors to responses; `schemas` are the bodies that `openapi/operator.json`
publishes. The package owns the connections of operators and no other state. It may import `reedspoke.common`,
`reedspoke.net.http`, `reedspoke.telemetry` and the events of `replication`; the process implements its
backend.
"""
