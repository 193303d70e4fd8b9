"""The operators' HTTP API: configuration, status of this node, tallies and evacuation of zones.

`http_server` and `http_connection` implement HTTP/1.1 independently of the operations. `operator_api` maps
requests to an `OperatorBackend` and errors to responses. `schemas` has the bodies that
`openapi/operator.json` publishes. The package owns the connections of operators and no other state. It may
import `reedspoke.common`, `reedspoke.net.http`, `reedspoke.telemetry`, the effects of `replication` and the
messages of `tallies`. The process provides the backend.
"""
