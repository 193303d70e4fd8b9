"""What the control plane and the data plane share: settings, messages, transport, configuration, errors, log.

The only state here is that of one process: its logger, its counter of unhandled errors, the signals that
came early. The package imports `reedspoke.telemetry` and libraries, and nothing of
`reedspoke.control_plane`, `reedspoke.data_plane` or `reedspoke.decision`.
"""
