"""The control log on disk: its records, its file format, and the files that hold it.

* `records`: what a replica persists, and how its state is restored from that;
* `log_format`: the bytes of a log file (header, doubled batches);
* `log_slots`, `log_writer`, `log_opening`, `synced_files`: two files written in turn, without renames;
* `job_thread`: a thread on which blocking jobs run one after another.

A returned `append` or `rewrite` means synced: the guards of `control_plane.replication` rest on it. The
package knows nothing of the protocol but the types of its records. It may import `common` and, in
`records`, the value types of `control_plane.replication` (`view`, `entry`, `messages`, `change_history`).
"""
