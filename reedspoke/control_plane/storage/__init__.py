"""Logs on disk: their file format, the files that hold them, and the thread that writes them.

* `log_format`: the bytes of a log file (header, doubled batches of records);
* `log_slots`, `log_writer`, `log_opening`, `synced_files`: two files written in turn, without renames;
* `durable_log`: opens a log with the state that it yields, and writes it, on a thread;
* `job_thread`: a thread on which blocking jobs run one after another.

A returned `append` or `rewrite` means synced: the guards of `control_plane.replication` and `tallies` rest on
it. Records are opaque bytes here; `replication.log_records` and `tallies.records` give them a meaning. The
package imports `common` alone.
"""
