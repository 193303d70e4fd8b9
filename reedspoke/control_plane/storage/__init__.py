"""The control log on disk: its file format, and the files that hold it.

* `log_format`: the bytes of a log file (header, doubled batches of records);
* `log_slots`, `log_writer`, `log_opening`, `synced_files`: two files written in turn, without renames;
* `job_thread`: a thread on which blocking jobs run one after another.

A returned `append` or `rewrite` means synced: the guards of `control_plane.replication` rest on it. Records
are opaque bytes here; `replication.log_records` gives them a meaning. The package imports `common` alone.
"""
