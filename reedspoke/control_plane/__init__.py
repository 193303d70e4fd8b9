"""The control plane: replicates the operator's configuration on a chain of nodes and delivers it.

Each sub-package owns one kind of state, which its docstring describes:

- `replication`, `views` and `storage`: the replicated configuration, the agreement on which nodes replicate
  it, and the log on disk. Together they are one state machine without I/O, its driver and its file.
- `peers`: connections and messages between control plane nodes.
- `workers`: the list of workers, and the lease of the node that polls the platform for it.
- `tallies`: counters of applications, merged between nodes without a majority.
- `evacuation`: operators' orders to evacuate zones, stored as additions to dedicated tallies.
- `quota`: grants out of the tenants' quotas.
- `delivery`: sessions with data plane nodes, the state published to them, and the fleet membership.
- `api`: the operators' HTTP API.

Dependencies between these packages are limited: `peers` imports the messages of `replication`; `workers` and
`quota` import `peers`; `delivery` imports `peers`, `workers` and the types of `replication`; `api` imports
the types of `replication`. Only the modules directly in this package combine them: `process` builds and runs
all components, `peer_exchange` connects them to peers, and `node_backend` to operators and metrics.
`settings_watcher` reloads the settings, and `graceful_shutdown` delays the end of the process.
"""
