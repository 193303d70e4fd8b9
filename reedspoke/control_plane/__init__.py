"""The control plane: replicates the operator's configuration on a chain of core machines, and delivers it.

Each sub-package owns one kind of state, and its docstring says which:

- `replication`, `views` and `storage`: the replicated configuration, the agreement on who replicates it, and
  the log on disk. The three make one state machine without I/O, its driver and its file.
- `peers`: connections and messages between control plane nodes.
- `workers`: the list of workers, and the lease of the node that polls the platform for it.
- `tallies`: counts of applications, merged between nodes without a majority.
- `evacuation`: operators' orders on zones, as adds to tallies of their own.
- `quota`: what is granted of tenants' quotas.
- `delivery`: sessions with data plane nodes, what is published to them, and the membership.
- `api`: the operators' HTTP API.

Imports go up that list: `peers` imports the messages of `replication`; `workers` and `quota` import `peers`;
`delivery` imports `peers`, `workers` and the types of `replication`; `api` imports the types of
`replication`. Only the modules at the top join them: `process` builds and runs all components,
`peer_exchange` connects them to peers, `node_backend` to operators and metrics; `settings_watcher` and
`graceful_shutdown` serve the process.
"""
