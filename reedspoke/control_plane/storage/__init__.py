"""Logs on disk: their file format, the files that hold them, and the thread that writes them.

* `log_format`: the bytes of a log file (a header, then batches of records, each stored twice);
* `log_slots`, `log_writer`, `log_opening`, `synced_files`: two files written alternately, without renames;
* `durable_log`: opens a log, restores the state from its records and writes it, all on a thread;
* `job_thread`: a thread that runs blocking jobs one after another.

When `append` or `rewrite` returns, the data is synced; `control_plane.replication` and
`control_plane.tallies` depend on that. Records are opaque bytes here: `replication.log_records` and
`tallies.records` define their content. The package imports only `common`.
"""
